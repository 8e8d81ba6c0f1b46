#pragma once

#include <cstdint>
#include <vector>

#include <rapidcheck.h>

namespace snipepost::matrix {

/// One step of a schedule. The meaning of the two numbers depends on the
/// action.
template<typename ActionType>
struct BasicStep
{
  ActionType mAction = ActionType::Advance;
  uint8_t mFirst = 0;
  uint8_t mSecond = 0;

  bool operator==(const BasicStep&) const = default;
};

/// Generates steps with the given actions and arbitrary numbers.
template<typename ActionType>
rc::Gen<BasicStep<ActionType>>
StepOf(rc::Gen<ActionType> aAction)
{
  using Step = BasicStep<ActionType>;
  return rc::gen::build<Step>(
    rc::gen::set(&Step::mAction, std::move(aAction)),
    rc::gen::set(&Step::mFirst, rc::gen::inRange<uint8_t>(0, 64)),
    rc::gen::set(&Step::mSecond, rc::gen::inRange<uint8_t>(0, 64)));
}

/// Generates any action from aFirst up to, but not including, aEnd.
template<typename ActionType>
rc::Gen<ActionType>
Between(uint8_t aFirst, uint8_t aEnd)
{
  return rc::gen::map(rc::gen::inRange<uint8_t>(aFirst, aEnd),
                      [](uint8_t aValue) { return ActionType{ aValue }; });
}

/// Generates traffic before, between and after one step of each action, in this
/// order.
template<typename ActionType>
rc::Gen<std::vector<BasicStep<ActionType>>>
TrafficAround(const rc::Gen<std::vector<BasicStep<ActionType>>>& aTraffic,
              ActionType aFirst,
              ActionType aSecond)
{
  return rc::gen::map(rc::gen::tuple(aTraffic,
                                     StepOf(rc::gen::just(aFirst)),
                                     aTraffic,
                                     StepOf(rc::gen::just(aSecond)),
                                     aTraffic),
                      [](const auto& aParts) {
                        const auto& [before, first, between, second, after] =
                          aParts;
                        std::vector<BasicStep<ActionType>> all = before;
                        all.push_back(first);
                        all.insert(all.end(), between.begin(), between.end());
                        all.push_back(second);
                        all.insert(all.end(), after.begin(), after.end());
                        return all;
                      });
}

} // namespace snipepost::matrix
