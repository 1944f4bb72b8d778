#ifndef MODEL_SRC_SHARED_MAP_H_
#define MODEL_SRC_SHARED_MAP_H_

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <memory>
#include <stdexcept>
#include <utility>
#include <vector>

namespace baobabwall::model {

/// \brief Ordered copy-on-write map whose copies share unchanged blocks.
///
/// Copying the map copies only a pointer. Changing an entry copies a block of
/// at most 64 entries and the list of blocks, so a new revision of a
/// configuration with thousands of resources adds only a few kilobytes. The
/// read operations match those of std::map.
template <typename Key, typename Value>
class SharedMap {
 public:
  using value_type = std::pair<const Key, Value>;

 private:
  using Block = std::vector<value_type>;
  using Blocks = std::vector<std::shared_ptr<const Block>>;

 public:
  class Iterator {
   public:
    using iterator_category = std::forward_iterator_tag;
    using value_type = SharedMap::value_type;
    using difference_type = std::ptrdiff_t;
    using pointer = const value_type*;
    using reference = const value_type&;

    Iterator() = default;
    reference operator*() const {
      return (*(*blocks_)[block_index_])[entry_index_];
    }
    pointer operator->() const { return &**this; }
    Iterator& operator++() {
      if (++entry_index_ == (*blocks_)[block_index_]->size()) {
        entry_index_ = 0;
        ++block_index_;
      }
      return *this;
    }
    Iterator operator++(int) {
      Iterator previous = *this;
      ++*this;
      return previous;
    }
    friend bool operator==(const Iterator& a, const Iterator& b) {
      return a.block_index_ == b.block_index_ &&
             a.entry_index_ == b.entry_index_;
    }
    friend bool operator!=(const Iterator& a, const Iterator& b) {
      return !(a == b);
    }

   private:
    friend class SharedMap;
    Iterator(const Blocks* blocks, size_t block, size_t entry)
        : blocks_(blocks), block_index_(block), entry_index_(entry) {}

    const Blocks* blocks_ = nullptr;
    size_t block_index_ = 0;
    size_t entry_index_ = 0;
  };
  using const_iterator = Iterator;
  using iterator = Iterator;

  size_t size() const { return size_; }
  bool empty() const { return size_ == 0; }
  Iterator begin() const { return {blocks_.get(), 0, 0}; }
  Iterator end() const { return {blocks_.get(), blocks_->size(), 0}; }

  /// \returns the first entry whose key is not less than `key`.
  template <typename K>
  Iterator lower_bound(const K& key) const {
    const auto block = std::lower_bound(
        blocks_->begin(), blocks_->end(), key,
        [](const auto& b, const K& k) { return b->back().first < k; });
    if (block == blocks_->end()) {
      return end();
    }
    return {blocks_.get(), static_cast<size_t>(block - blocks_->begin()),
            LowerBoundInBlock(**block, key)};
  }

  template <typename K>
  Iterator find(const K& key) const {
    const Iterator found = lower_bound(key);
    return found == end() || key < found->first ? end() : found;
  }

  template <typename K>
  size_t count(const K& key) const {
    return find(key) == end() ? 0 : 1;
  }

  template <typename K>
  const Value& at(const K& key) const {
    const Iterator found = find(key);
    if (found == end()) {
      throw std::out_of_range("SharedMap::at");
    }
    return found->second;
  }

  /// \brief Inserts an entry, or replaces the value of an existing entry.
  void Set(const Key& key, Value value) {
    auto blocks = std::make_shared<Blocks>(*blocks_);
    if (blocks->empty()) {
      blocks->push_back(std::make_shared<Block>());
    }
    size_t index = lower_bound(key).block_index_;
    index = std::min(index, blocks->size() - 1);
    const Block& old_block = *(*blocks)[index];
    const size_t entry = LowerBoundInBlock(old_block, key);
    const bool key_exists =
        entry < old_block.size() && !(key < old_block[entry].first);
    auto new_block = std::make_shared<Block>();
    new_block->reserve(old_block.size() + 1);
    std::copy_n(old_block.begin(), entry, std::back_inserter(*new_block));
    new_block->emplace_back(key, std::move(value));
    std::copy(old_block.begin() + entry + (key_exists ? 1 : 0), old_block.end(),
              std::back_inserter(*new_block));
    size_ += key_exists ? 0 : 1;
    if (new_block->size() <= kMaxBlockEntries) {
      (*blocks)[index] = std::move(new_block);
    } else {
      // Keys are often inserted in ascending order, so the left block keeps
      // three quarters of the entries and the right block has room for later
      // keys.
      const auto split = new_block->begin() + kMaxBlockEntries * 3 / 4;
      auto right_block = std::make_shared<Block>(split, new_block->end());
      (*blocks)[index] = std::make_shared<Block>(new_block->begin(), split);
      blocks->insert(blocks->begin() + index + 1, std::move(right_block));
    }
    blocks_ = std::move(blocks);
  }

  /// \brief Removes an entry.
  /// \returns false if the map does not contain the key.
  template <typename K>
  bool Erase(const K& key) {
    const Iterator found = find(key);
    if (found == end()) {
      return false;
    }
    auto blocks = std::make_shared<Blocks>(*blocks_);
    const Block& old_block = *(*blocks)[found.block_index_];
    auto new_block = std::make_shared<Block>();
    new_block->reserve(old_block.size());
    for (size_t i = 0; i < old_block.size(); ++i) {
      if (i != found.entry_index_) {
        new_block->push_back(old_block[i]);
      }
    }
    if (new_block->empty()) {
      blocks->erase(blocks->begin() + found.block_index_);
    } else {
      (*blocks)[found.block_index_] = std::move(new_block);
    }
    blocks_ = std::move(blocks);
    --size_;
    return true;
  }

 private:
  static constexpr size_t kMaxBlockEntries = 64;

  template <typename K>
  static size_t LowerBoundInBlock(const Block& block, const K& key) {
    const auto entry = std::lower_bound(
        block.begin(), block.end(), key,
        [](const value_type& e, const K& k) { return e.first < k; });
    return entry - block.begin();
  }

  std::shared_ptr<const Blocks> blocks_ = std::make_shared<Blocks>();
  size_t size_ = 0;
};

}  // namespace baobabwall::model

#endif  // MODEL_SRC_SHARED_MAP_H_
