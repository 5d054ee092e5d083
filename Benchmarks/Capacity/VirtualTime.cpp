#include "VirtualTime.h"

#include <utility>

namespace laburnum::bench {

void VirtualTime::after(Duration Pause, std::function<void()> Task) {
  Queue_.push({Now_ + Pause, NextSequence_++, std::move(Task)});
}

void VirtualTime::runFor(Duration Span) {
  auto const End = Now_ + Span;
  while (!Queue_.empty() && Queue_.top().At_ <= End) {
    auto Next = Queue_.top();
    Queue_.pop();
    Now_ = Next.At_;
    Next.Task_();
  }
  Now_ = End;
}

} // namespace laburnum::bench
