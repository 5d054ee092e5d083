#include <LibSettings/KeyDescription.h>
#include <LibSettings/ValueParsers.h>

namespace laburnum {

namespace {

constexpr std::int64_t MaxPort = 65535;
constexpr std::int64_t MaxThreads = 65536;
constexpr std::int64_t MaxBytes = 1LL << 30;
constexpr std::int64_t MaxMilliseconds = 86'400'000;
constexpr std::int64_t MaxPerSecond = 1'000'000;
constexpr std::int64_t MaxClaimBuckets = 65536;
constexpr std::int64_t MaxClaimAnswerBytes = 65536;

struct Range {
  std::int64_t Minimum_;
  std::int64_t Maximum_;
};

std::string describe(Range Allowed, std::string const &What) {
  return What + " from " + std::to_string(Allowed.Minimum_) + " to " +
         std::to_string(Allowed.Maximum_);
}

/// Returns a function that returns a reference to the field in the settings.
template <typename Section, typename Value>
auto accessor(Section DaemonSettings::*Outer, Value Section::*Inner) {
  return
      [=](DaemonSettings &Daemon) -> Value & { return (Daemon.*Outer).*Inner; };
}

/// Returns a function that parses a text and stores the value. Parse returns an
/// optional value; Accessor returns a reference to the field.
template <typename Parser, typename Field>
auto parseAndStore(Parser Parse, Field Accessor) {
  return [=](DaemonSettings &Settings, std::string const &Text) {
    auto const Value = Parse(Text);
    if (!Value)
      return false;
    Accessor(Settings) = *Value;
    return true;
  };
}

/// Like parseAndStore, for an integer and a field of any integer type.
template <typename Field>
auto parseAndStoreInteger(Range Allowed, Field Accessor) {
  return [=](DaemonSettings &Settings, std::string const &Text) {
    auto const Value = parseInteger(Text, Allowed.Minimum_, Allowed.Maximum_);
    if (!Value)
      return false;
    auto &Target = Accessor(Settings);
    Target = static_cast<std::remove_reference_t<decltype(Target)>>(*Value);
    return true;
  };
}

template <typename Field>
KeyDescription integerKey(std::string Section, std::string Key,
                          std::string Default, Range Allowed, std::string Help,
                          Field Accessor) {
  return {std::move(Section),
          std::move(Key),
          describe(Allowed, "a whole number"),
          std::move(Default),
          std::move(Help),
          Sensitivity::Open,
          parseAndStoreInteger(Allowed, Accessor)};
}

template <typename Field>
KeyDescription durationKey(std::string Section, std::string Key,
                           std::string Default, std::string Help,
                           Field Accessor) {
  Range const Allowed{1, MaxMilliseconds};
  auto const Parse = [=](std::string const &Text) -> std::optional<Duration> {
    auto const Value = parseInteger(Text, Allowed.Minimum_, Allowed.Maximum_);
    if (!Value)
      return std::nullopt;
    return std::chrono::milliseconds(*Value);
  };
  return {std::move(Section),
          std::move(Key),
          describe(Allowed, "milliseconds"),
          std::move(Default),
          std::move(Help),
          Sensitivity::Open,
          parseAndStore(Parse, Accessor)};
}

std::optional<std::string> nonEmpty(std::string const &Text) {
  return Text.empty() ? std::nullopt : std::optional(Text);
}

std::optional<std::string> secret(std::string const &Text) {
  return Text.size() < MinimumSecretCharacters ? std::nullopt
                                               : std::optional(Text);
}

template <typename Listener>
void addListener(std::vector<KeyDescription> &Keys, std::string const &Section,
                 std::string const &Port, Listener Accessor) {
  Keys.push_back(
      {Section, "host", "an IP address or host name", "127.0.0.1",
       "Address to listen on, which is told to others.", Sensitivity::Open,
       parseAndStore(nonEmpty, [=](DaemonSettings &Daemon) -> std::string & {
         return Accessor(Daemon).Host_;
       })});
  Keys.push_back(integerKey(Section, "port", Port, {0, MaxPort},
                            "Port to listen on; 0 takes any free one.",
                            [=](DaemonSettings &Daemon) -> std::uint16_t & {
                              return Accessor(Daemon).Port_;
                            }));
}

void addInstance(std::vector<KeyDescription> &Keys) {
  auto const ParseId = [](std::string const &Text) {
    return std::optional(InstanceId(Text));
  };
  auto const ParseDataCentre = [](std::string const &Text) {
    return Text.empty() ? std::nullopt : std::optional(DataCentre(Text));
  };
  Keys.push_back({"instance", "id", "any text, or empty", "",
                  "Name of this entry instance; made at start when empty.",
                  Sensitivity::Open,
                  parseAndStore(ParseId, accessor(&DaemonSettings::Instance_,
                                                  &InstanceSettings::Id_))});
  Keys.push_back({"instance", "data_centre", "a name", std::nullopt,
                  "The data centre that this instance runs in.",
                  Sensitivity::Open,
                  parseAndStore(ParseDataCentre,
                                accessor(&DaemonSettings::Instance_,
                                         &InstanceSettings::DataCentre_))});
  Keys.push_back(
      {"instance", "log_level", "info, warning or error", "info",
       "The least severe messages that are logged.", Sensitivity::Open,
       parseAndStore(parseLogLevel, accessor(&DaemonSettings::Instance_,
                                             &InstanceSettings::LogLevel_))});
}

void addCallers(std::vector<KeyDescription> &Keys) {
  addListener(Keys, "callers", "8080",
              accessor(&DaemonSettings::Callers_, &CallersSettings::Endpoint_));
  Keys.push_back(integerKey(
      "callers", "threads", "256", {1, MaxThreads},
      "Connections served at once, one thread each; further ones replace "
      "those that have waited longest for their callers.",
      accessor(&DaemonSettings::Callers_, &CallersSettings::Threads_)));
  Keys.push_back(integerKey(
      "callers", "max_body_bytes", "8388608", {1, MaxBytes},
      "Requests with a larger body are refused.",
      accessor(&DaemonSettings::Callers_, &CallersSettings::MaxBodyBytes_)));
  Keys.push_back(integerKey(
      "callers", "body_memory_bytes", "33554432", {1, MaxBytes},
      "Memory for the headers and bodies of all requests together, twice "
      "max_body_bytes and 66 times max_header_bytes at least; beyond it "
      "requests are refused as not run, or closed while they send headers.",
      accessor(&DaemonSettings::Callers_, &CallersSettings::BodyMemoryBytes_)));
  Keys.push_back(integerKey(
      "callers", "answer_memory_bytes", "33554432", {1, MaxBytes},
      "Memory for the answers that arrive from servers, twice the largest "
      "answer (16 MiB) at least, and as much for those that callers have not "
      "read whole, beside the first 32 or 64 KiB of each; beyond it answers "
      "fail, and callers that have taken nothing for longest are "
      "disconnected.",
      accessor(&DaemonSettings::Callers_,
               &CallersSettings::AnswerMemoryBytes_)));
  Keys.push_back(integerKey(
      "callers", "max_header_bytes", "65536", {1, MaxBytes},
      "Requests with larger headers, or with a longer line between the chunks "
      "of a body, are refused.",
      accessor(&DaemonSettings::Callers_, &CallersSettings::MaxHeaderBytes_)));
  Keys.push_back(durationKey(
      "callers", "header_timeout_ms", "5000",
      "A connection that is slower to send is closed.",
      accessor(&DaemonSettings::Callers_, &CallersSettings::HeaderTimeout_)));
  Keys.push_back(durationKey(
      "callers", "max_deadline_ms", "600000",
      "The longest deadline a caller may ask for.",
      accessor(&DaemonSettings::Callers_, &CallersSettings::MaxDeadline_)));
  Keys.push_back(durationKey(
      "callers", "default_deadline_ms", "60000",
      "The deadline of requests that name none.",
      accessor(&DaemonSettings::Callers_, &CallersSettings::DefaultDeadline_)));
}

void addOperators(std::vector<KeyDescription> &Keys) {
  addListener(
      Keys, "operators", "8081",
      accessor(&DaemonSettings::Operators_, &OperatorsSettings::Endpoint_));
  Keys.push_back(
      {"operators", "keys",
       "name:key pairs separated by commas, each key at least 16 "
       "characters, no name or key twice",
       std::nullopt, "Who may use the operators' interface.",
       Sensitivity::Secret,
       parseAndStore(parseOperatorKeys, accessor(&DaemonSettings::Operators_,
                                                 &OperatorsSettings::Keys_))});
}

void addPeers(std::vector<KeyDescription> &Keys) {
  addListener(Keys, "peers", "8082",
              accessor(&DaemonSettings::Peers_, &PeersSettings::Endpoint_));
  Keys.push_back({"peers", "secret", "at least 16 characters", std::nullopt,
                  "Shared by all entry instances to recognise each other.",
                  Sensitivity::Secret,
                  parseAndStore(secret, accessor(&DaemonSettings::Peers_,
                                                 &PeersSettings::Secret_))});
  Keys.push_back(
      {"peers", "seeds", "host:port pairs separated by commas", "",
       "Peers to ask first, also when the platform is down.", Sensitivity::Open,
       parseAndStore(parseEndpoints, accessor(&DaemonSettings::Peers_,
                                              &PeersSettings::Seeds_))});
}

void addPlatform(std::vector<KeyDescription> &Keys) {
  Keys.push_back(
      {"platform", "endpoint", "host:port", std::nullopt,
       "Where the platform's API answers.", Sensitivity::Open,
       parseAndStore(parseEndpoint, accessor(&DaemonSettings::Platform_,
                                             &PlatformSettings::Endpoint_))});
  Keys.push_back(integerKey("platform", "reads_per_second", "200",
                            {1, MaxPerSecond},
                            "Reads that this instance allows itself.",
                            accessor(&DaemonSettings::Platform_,
                                     &PlatformSettings::ReadsPerSecond_)));
  Keys.push_back(integerKey("platform", "writes_per_second", "50",
                            {1, MaxPerSecond},
                            "Writes that this instance allows itself.",
                            accessor(&DaemonSettings::Platform_,
                                     &PlatformSettings::WritesPerSecond_)));
  Keys.push_back(durationKey(
      "platform", "timeout_ms", "2000", "How long one call may take.",
      accessor(&DaemonSettings::Platform_, &PlatformSettings::Timeout_)));
  Keys.push_back(integerKey(
      "platform", "threads", "8", {1, MaxThreads},
      "Calls that may be in progress at once.",
      accessor(&DaemonSettings::Platform_, &PlatformSettings::Threads_)));
}

void addBackends(std::vector<KeyDescription> &Keys) {
  Keys.push_back(durationKey("backends", "connect_timeout_ms", "1000",
                             "How long connecting to a server may take.",
                             accessor(&DaemonSettings::Backends_,
                                      &BackendsSettings::ConnectTimeout_)));
  Keys.push_back(durationKey(
      "backends", "stall_timeout_ms", "10000",
      "Silence after which a call counts as lost.",
      accessor(&DaemonSettings::Backends_, &BackendsSettings::StallTimeout_)));
  Keys.push_back(
      integerKey("backends", "connections_per_server", "32", {1, MaxThreads},
                 "Connections kept open to one backend server.",
                 accessor(&DaemonSettings::Backends_,
                          &BackendsSettings::ConnectionsPerServer_)));
}

void addServing(std::vector<KeyDescription> &Keys) {
  Keys.push_back(durationKey(
      "serving", "drain_ms", "25000",
      "Time for requests to finish before a stop.",
      accessor(&DaemonSettings::Serving_, &ServingSettings::Drain_)));
  Keys.push_back(integerKey(
      "serving", "claim_buckets", "64", {1, MaxClaimBuckets},
      "Objects that share the claims; equal everywhere.",
      accessor(&DaemonSettings::Serving_, &ServingSettings::ClaimBuckets_)));
  Keys.push_back(integerKey("serving", "claim_answer_bytes", "4096",
                            {0, MaxClaimAnswerBytes},
                            "The largest answer that is kept with its claim.",
                            accessor(&DaemonSettings::Serving_,
                                     &ServingSettings::ClaimAnswerBytes_)));
}

std::vector<KeyDescription> allKeys() {
  std::vector<KeyDescription> Keys;
  addInstance(Keys);
  addCallers(Keys);
  addOperators(Keys);
  addPeers(Keys);
  addPlatform(Keys);
  addBackends(Keys);
  addServing(Keys);
  return Keys;
}

std::string defaultText(KeyDescription const &Key) {
  if (!Key.Default_)
    return "required";
  return Key.Default_->empty() ? "empty" : "`" + *Key.Default_ + "`";
}

} // namespace

std::vector<KeyDescription> const &keyDescriptions() {
  static auto const Keys = allKeys();
  return Keys;
}

std::string settingsPage() {
  std::string Page =
      "# Settings of laburnumd\n\n"
      "An INI file; the names are case-sensitive. Unknown sections and keys, "
      "keys given\ntwice and values out of range are errors, all reported at "
      "once when the daemon\nstarts. This page is made from the table in "
      "`Libraries/LibSettings`:\n`TestLibSettings '[write-page]'`.\n";
  std::string Section;
  for (auto const &Key : keyDescriptions()) {
    if (Key.Section_ != Section) {
      Section = Key.Section_;
      Page += "\n## [" + Section + "]\n\n";
      Page += "| key | allowed | default | |\n|---|---|---|---|\n";
    }
    Page += "| `" + Key.Key_ + "` | " + Key.Allowed_ + " | " +
            defaultText(Key) + " | " + Key.Help_ + " |\n";
  }
  return Page;
}

} // namespace laburnum
