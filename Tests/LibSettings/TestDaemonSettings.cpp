#include <LibSettings/DaemonSettings.h>
#include <LibSettings/KeyDescription.h>

#include <catch2/catch.hpp>

#include <fstream>
#include <sstream>

using namespace laburnum;

namespace {

std::string const Good = "[instance]\n"
                         "data_centre = wien-1\n"
                         "[operators]\n"
                         "keys = ada:0123456789abcdef, bob:fedcba9876543210\n"
                         "[peers]\n"
                         "secret = 0123456789abcdef\n"
                         "seeds = 127.0.0.1:7001, 127.0.0.1:7002\n"
                         "[platform]\n"
                         "endpoint = 127.0.0.1:9000\n"
                         "[callers]\n"
                         "port = 0\n";

std::vector<SettingsProblem> problemsOf(std::string const &Text) {
  auto const Reading = DaemonSettings::parse(Text, "daemon.ini");
  REQUIRE(std::holds_alternative<std::vector<SettingsProblem>>(Reading));
  return std::get<std::vector<SettingsProblem>>(Reading);
}

SettingsProblem onlyProblemOf(std::string const &Text) {
  auto const Problems = problemsOf(Text);
  REQUIRE(Problems.size() == 1);
  return Problems.front();
}

} // namespace

TEST_CASE("Given values are read and the others have their defaults") {
  auto const Reading = DaemonSettings::parse(Good, "daemon.ini");
  REQUIRE(std::holds_alternative<DaemonSettings>(Reading));
  auto const &Settings = std::get<DaemonSettings>(Reading);
  CHECK(Settings.Instance_.DataCentre_.text() == "wien-1");
  CHECK(Settings.Operators_.Keys_.size() == 2);
  CHECK(Settings.Operators_.Keys_[1].Name_ == "bob");
  CHECK(Settings.Peers_.Seeds_[1] == Endpoint{"127.0.0.1", 7002});
  CHECK(Settings.Callers_.Endpoint_ == Endpoint{"127.0.0.1", 0});
  CHECK(Settings.Callers_.Threads_ == 256);
  CHECK(Settings.Serving_.Drain_ == std::chrono::milliseconds(25000));
  CHECK(Settings.Serving_.ClaimBuckets_ == 64);
}

TEST_CASE("A problem names the file, line, key, allowed values and remedy") {
  auto const Problem = onlyProblemOf(Good + "threads = many\n");
  CHECK(Problem.Line_ == 12);
  CHECK(toString(Problem) ==
        "daemon.ini:12: [callers] threads: value 'many' is not allowed; "
        "allowed: a whole number from 1 to 65536; change the value");
}

TEST_CASE("Values out of range are rejected") {
  auto const Line = GENERATE(
      as<std::string>(), "threads = 0", "threads = 65537", "threads = 1x",
      "threads =", "threads", "header_timeout_ms = -1", "max_body_bytes = 1.5");
  INFO(Line);
  CHECK(onlyProblemOf(Good + Line + "\n").Line_ == 12);
}

TEST_CASE("All problems of a file are reported at once with their lines") {
  auto const Problems = problemsOf("[instance]\n"
                                   "data_center = wien-1\n"
                                   "[colour]\n"
                                   "red = 1\n"
                                   "[platform]\n"
                                   "endpoint = nowhere\n"
                                   "timeout_ms = 10\n"
                                   "; comment\n"
                                   "timeout_ms = 20\n");
  std::vector<std::string> Seen;
  for (auto const &Problem : Problems)
    Seen.push_back(std::to_string(Problem.Line_) + " " + Problem.Section_ +
                   "." + Problem.Key_ + " " + Problem.What_);
  CHECK(Seen == std::vector<std::string>{
                    "2 instance.data_center unknown key",
                    "3 colour. unknown section",
                    "1 instance.data_centre required key is missing",
                    "0 operators.keys required key is missing",
                    "0 peers.secret required key is missing",
                    "6 platform.endpoint value 'nowhere' is not allowed",
                    "9 platform.timeout_ms key is given more than once"});
  for (auto const &Problem : Problems)
    CHECK_FALSE(Problem.Remedy_.empty());
}

TEST_CASE("Keys outside any section are rejected") {
  CHECK(onlyProblemOf("port = 1\n" + Good).What_ == "unknown section");
}

TEST_CASE("A secret that is too short is not quoted") {
  auto Text = Good;
  Text.replace(Text.find("bob:fedcba9876543210"), 20, "bob:short-one");
  CHECK(toString(onlyProblemOf(Text)).find("short-one") == std::string::npos);
}

TEST_CASE("Two operators cannot share a key") {
  auto Text = Good;
  Text.replace(Text.find("fedcba9876543210"), 16, "0123456789abcdef");
  CHECK(onlyProblemOf(Text).Key_ == "keys");
}

TEST_CASE("The default deadline cannot exceed the maximum") {
  auto const Problem = onlyProblemOf(Good + "max_deadline_ms = 1000\n");
  CHECK(Problem.Key_ == "default_deadline_ms");
}

TEST_CASE("A file that is not there is an error with a remedy") {
  auto const Outcome = DaemonSettings::load("/nonexistent/daemon.ini");
  REQUIRE(isError(Outcome));
  CHECK(errorOf(Outcome).Kind_ == ErrorKind::NotFound);
}

TEST_CASE("docs/SETTINGS.md is what the key table says") {
  std::ostringstream Page;
  Page << std::ifstream(SETTINGS_PAGE).rdbuf();
  CHECK(Page.str() == settingsPage());
}

TEST_CASE("Write docs/SETTINGS.md anew", "[.][write-page]") {
  std::ofstream(SETTINGS_PAGE) << settingsPage();
}
