#include "daemon/src/chart_files.h"

#include <filesystem>
#include <fstream>
#include <sstream>
#include <system_error>

namespace baobabwall::daemon {

std::map<std::string, std::string> ReadChartFiles(const std::string& directory,
                                                  base::Findings* findings) {
  std::map<std::string, std::string> text_by_file_name;
  std::error_code error;
  for (const auto& entry :
       std::filesystem::directory_iterator(directory, error)) {
    if (entry.path().extension() != ".chart") {
      continue;
    }
    std::ifstream stream(entry.path());
    std::stringstream chart_text;
    chart_text << stream.rdbuf();
    if (!stream) {
      findings->Add(entry.path().string(), "cannot be read");
      continue;
    }
    text_by_file_name[entry.path().filename().string()] = chart_text.str();
  }
  if (error) {
    findings->Add(directory, error.message(),
                  "set [charts] directory to the path of the folder charts/");
  }
  return text_by_file_name;
}

}  // namespace baobabwall::daemon
