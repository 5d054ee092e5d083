#include <LibFleet/UnusableServers.h>
#include <LibModel/JsonCodec.h>

#include <catch2/catch.hpp>

using namespace laburnum;

namespace {

servers::Departure const Certain{Liveness::Leaving, {}, 1, {}};
servers::Departure const Uncertain{Liveness::Leaving, {}, 1, TimePoint{}};

ConfigurationObject server(std::string const &Name) {
  BackendServer Made;
  Made.Id_ = ServerId(Name);
  Made.Service_ = ServiceName("desk");
  Made.DataCentre_ = DataCentre("near");
  Made.Endpoint_ = {"10.0.0.2", 80};
  return {{ObjectKind::Server, Name}, 1, false, encodeJson(Made)};
}

ConfigurationObject desk() {
  Service Made;
  Made.Name_ = ServiceName("desk");
  return {{ObjectKind::Service, "desk"}, 1, false, encodeJson(Made)};
}

struct Fixture {
  std::set<ServerId> unusable() const {
    return unusableServers(Departures_, *InForce_);
  }

  ServerId const First_{"p1"};
  ServerId const Second_{"p2"};
  std::shared_ptr<Configuration const> InForce_ =
      Configuration::create({desk(), server("p1"), server("p2")});
  servers::Departures Departures_;
};

} // namespace

TEST_CASE_METHOD(
    Fixture,
    "A server that refused gets no work while another one is available") {
  Departures_[First_] = Uncertain;
  CHECK(unusable() == std::set{First_});
}

TEST_CASE_METHOD(Fixture,
                 "Servers that only refused are used if no other is left") {
  Departures_[First_] = Certain;
  Departures_[Second_] = Uncertain;
  CHECK(unusable() == std::set{First_});
  Departures_[First_] = Uncertain;
  CHECK(unusable().empty());
}

TEST_CASE_METHOD(Fixture, "A server that is certain to leave is never used") {
  Departures_[First_] = Certain;
  Departures_[Second_] = Certain;
  CHECK(unusable() == std::set{First_, Second_});
}
