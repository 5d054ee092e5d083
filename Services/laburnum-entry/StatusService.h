#pragma once

#include <LibHttp/HttpListener.h>

#include <functional>

namespace laburnum {

/// Answers every request with the page that a function returns. Serves the load
/// balancer's readiness checks and the metrics page.
class StatusService : public HttpService {
public:
  struct Page {
    std::int32_t Status_ = 200;
    std::string Text_;
  };

  explicit StatusService(std::function<Page()> MakePage)
      : MakePage_(std::move(MakePage)) {}

  ClientBounds bounds() const override { return {}; }
  void onRequest(std::shared_ptr<Exchange> Exchange,
                 ReceivedRequest /*Request*/) override {
    auto const Page = MakePage_();
    AnswerHead Head{Page.Status_, {}};
    Head.Fields_.add("Content-Type", "text/plain; charset=utf-8");
    Exchange->answer(Head, Page.Text_);
  }

private:
  std::function<Page()> MakePage_;
};

} // namespace laburnum
