#include "control/src/allotment_table.h"

#include <utility>
#include <vector>

#include "absl/numeric/int128.h"
#include "absl/strings/str_cat.h"
#include "nlohmann/json.hpp"

namespace baobabwall::control {
namespace internal {

using Json = nlohmann::json;

/// \brief Decodes one table and collects its findings.
class AllotmentTableReader {
 public:
  explicit AllotmentTableReader(base::Findings* findings)
      : findings_(findings) {}

  AllotmentTable Read(const Json& document) {
    AllotmentTable table;
    table.epoch = ReadInteger(document, "epoch");
    table.config_revision = ReadInteger(document, "config");
    table.split_epoch = ReadInteger(document, "split");
    const auto holders = document.find("holders");
    if (holders == document.end() || !holders->is_array()) {
      findings_->Add("holders", "must be a list of names");
      return table;
    }
    for (const Json& holder : *holders) {
      if (!holder.is_string()) {
        findings_->Add("holders", "must be a list of names");
        return table;
      }
      holders_.push_back(holder.get<std::string>());
    }
    ReadConfirmations(document, &table);
    ReadDrains(document, &table);
    const auto totals = document.find("totals");
    if (totals == document.end() || !totals->is_object()) {
      findings_->Add("totals", "must map each total to its shares");
      return table;
    }
    for (const auto& [key, value] : totals->items()) {
      ReadTotal(key, value, &table.totals[key]);
    }
    return table;
  }

 private:
  int64_t ReadInteger(const Json& object, const char* key) {
    const auto field = object.find(key);
    if (field == object.end() || !field->is_number_integer()) {
      findings_->Add(key, "must be an integer");
      return 0;
    }
    return field->get<int64_t>();
  }

  void ReadConfirmations(const Json& document, AllotmentTable* table) {
    const auto field = document.find("confirmations");
    if (field == document.end()) {
      return;
    }
    if (!field->is_object()) {
      findings_->Add("confirmations", "must map each holder to a count");
      return;
    }
    for (const auto& [holder, count] : field->items()) {
      if (!count.is_number_integer()) {
        findings_->Add(absl::StrCat("confirmations.", holder),
                       "must be an integer");
        continue;
      }
      table->confirmations[holder] = count.get<int64_t>();
    }
  }

  /// A drain is encoded as `[version, started]`.
  void ReadDrains(const Json& document, AllotmentTable* table) {
    const auto field = document.find("drains");
    if (field == document.end()) {
      return;
    }
    if (!field->is_object()) {
      findings_->Add("drains", "must map each drain to an array");
      return;
    }
    for (const auto& [name, value] : field->items()) {
      if (!value.is_array() || value.size() != 2 ||
          !value[0].is_number_integer() || !value[1].is_boolean()) {
        findings_->Add(absl::StrCat("drains.", name),
                       "must be [version, started]");
        continue;
      }
      table->drains[name] = {value[0].get<int64_t>(), value[1].get<bool>()};
    }
  }

  /// A total is encoded as `[total, declared total, [share...]]`.
  void ReadTotal(const std::string& key,
                 const Json& value,
                 AllotmentTotal* total) {
    const std::string path = absl::StrCat("totals.", key);
    if (!value.is_array() || value.size() != 3 ||
        !value[0].is_number_integer() || !value[1].is_number_integer() ||
        !value[2].is_array()) {
      findings_->Add(path, "must be [total, declared total, shares]");
      return;
    }
    total->total = value[0].get<int64_t>();
    total->declared_total = value[1].get<int64_t>();
    for (const Json& item : value[2]) {
      ReadShare(path, item, total);
    }
  }

  /// A share is encoded as `[holder, target]` or `[holder, target, reserved,
  /// epoch]`.
  void ReadShare(const std::string& path,
                 const Json& item,
                 AllotmentTotal* total) {
    std::vector<int64_t> fields;
    for (const Json& field : item) {
      if (!field.is_number_integer()) {
        findings_->Add(path, "a share must be a list of integers");
        return;
      }
      fields.push_back(field.get<int64_t>());
    }
    if (fields.size() != 2 && fields.size() != 4) {
      findings_->Add(path,
                     "a share must be [holder, target] or "
                     "[holder, target, reserved, epoch]");
      return;
    }
    if (fields[0] < 0 || fields[0] >= static_cast<int64_t>(holders_.size())) {
      findings_->Add(path, "a share has an invalid holder index");
      return;
    }
    AllotmentShare share;
    share.target = fields[1];
    share.reserved = fields.size() == 2 ? fields[1] : fields[2];
    share.last_lowered_epoch = fields.size() == 2 ? 0 : fields[3];
    if (!total->shares.emplace(holders_[fields[0]], share).second) {
      findings_->Add(
          path, absl::StrCat("has duplicate shares of ", holders_[fields[0]]));
    }
  }

  base::Findings* findings_;
  std::vector<std::string> holders_;
};

}  // namespace internal

std::string AllotmentKey(absl::string_view zone) {
  return absl::StrCat("allotment/", zone);
}

int64_t ScaleShare(int64_t target,
                   int64_t declared_total,
                   int64_t previous_declared_total) {
  if (previous_declared_total <= 0 ||
      declared_total >= previous_declared_total) {
    return target;
  }
  return static_cast<int64_t>(absl::int128(target) * declared_total /
                              previous_declared_total);
}

int64_t AllotmentTotal::ReservedSum() const {
  int64_t sum = 0;
  for (const auto& [holder, share] : shares) {
    sum += share.reserved;
  }
  return sum;
}

int64_t AllotmentTotal::TargetSum() const {
  int64_t sum = 0;
  for (const auto& [holder, share] : shares) {
    sum += share.target;
  }
  return sum;
}

const AllotmentShare* AllotmentTable::Find(absl::string_view key,
                                           absl::string_view holder) const {
  const auto total = totals.find(key);
  if (total == totals.end()) {
    return nullptr;
  }
  const auto share = total->second.shares.find(holder);
  return share == total->second.shares.end() ? nullptr : &share->second;
}

bool AllotmentTable::HasReservation(absl::string_view holder) const {
  for (const auto& [key, total] : totals) {
    const auto share = total.shares.find(holder);
    if (share != total.shares.end() && share->second.reserved > 0) {
      return true;
    }
  }
  return false;
}

void CheckAllotmentTable(const AllotmentTable& table,
                         base::Findings* findings) {
  for (const auto& [key, total] : table.totals) {
    const std::string path = absl::StrCat("totals.", key);
    for (const auto& [holder, share] : total.shares) {
      if (share.target < 0 || share.target > share.reserved) {
        findings->Add(path,
                      absl::StrCat("the target of ", holder,
                                   " must be from 0 to its reserved amount"));
      }
    }
    if (total.ReservedSum() > total.total) {
      findings->Add(
          path, absl::StrCat("reserved amounts add up to ", total.ReservedSum(),
                             ", which exceeds the total ", total.total));
    }
  }
}

std::string EncodeAllotmentTable(const AllotmentTable& table) {
  std::map<absl::string_view, int64_t> index_by_holder;
  for (const auto& [key, total] : table.totals) {
    for (const auto& [holder, share] : total.shares) {
      if (share.reserved > 0) {
        index_by_holder.emplace(holder, 0);
      }
    }
  }
  internal::Json holders = internal::Json::array();
  for (auto& [holder, holder_index] : index_by_holder) {
    holder_index = static_cast<int64_t>(holders.size());
    holders.push_back(std::string(holder));
  }
  internal::Json totals = internal::Json::object();
  for (const auto& [key, total] : table.totals) {
    internal::Json shares = internal::Json::array();
    for (const auto& [holder, share] : total.shares) {
      if (share.reserved == 0) {
        continue;
      }
      internal::Json item = {index_by_holder[holder], share.target};
      if (share.reserved != share.target) {
        item.push_back(share.reserved);
        item.push_back(share.last_lowered_epoch);
      }
      shares.push_back(std::move(item));
    }
    totals[key] = {total.total, total.declared_total, std::move(shares)};
  }
  internal::Json document = {{"epoch", table.epoch},
                             {"config", table.config_revision},
                             {"split", table.split_epoch},
                             {"holders", std::move(holders)},
                             {"totals", std::move(totals)}};
  if (!table.confirmations.empty()) {
    document["confirmations"] = table.confirmations;
  }
  for (const auto& [name, record] : table.drains) {
    document["drains"][name] = {record.version, record.is_started};
  }
  return document.dump();
}

std::optional<AllotmentTable> DecodeAllotmentTable(absl::string_view text,
                                                   base::Findings* findings) {
  const internal::Json document =
      internal::Json::parse(text.begin(), text.end(), nullptr, false);
  if (document.is_discarded() || !document.is_object()) {
    findings->Add("allotment", "is not a JSON object");
    return std::nullopt;
  }
  base::Findings table_findings;
  AllotmentTable table =
      internal::AllotmentTableReader(&table_findings).Read(document);
  if (table_findings.empty()) {
    CheckAllotmentTable(table, &table_findings);
  }
  findings->Append(table_findings);
  if (!table_findings.empty()) {
    return std::nullopt;
  }
  return table;
}

}  // namespace baobabwall::control
