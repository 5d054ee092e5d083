#include <LibSettings/SettingsProblem.h>

namespace laburnum {

std::string toString(SettingsProblem const &Problem) {
  auto Text = Problem.File_;
  if (Problem.Line_ > 0)
    Text += ":" + std::to_string(Problem.Line_);
  Text += ": [" + Problem.Section_ + "]";
  if (!Problem.Key_.empty())
    Text += " " + Problem.Key_;
  Text += ": " + Problem.What_;
  if (!Problem.Allowed_.empty())
    Text += "; allowed: " + Problem.Allowed_;
  return Text + "; " + Problem.Remedy_;
}

} // namespace laburnum
