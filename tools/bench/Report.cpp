#include "tools/bench/Report.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <iomanip>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace snipepost::bench {

namespace {

std::string
ToText(const Cell& aCell)
{
  if (const auto* text = std::get_if<std::string>(&aCell)) {
    return *text;
  }
  const double value = std::get<double>(aCell);
  const bool whole = value == static_cast<double>(static_cast<long>(value));
  std::array<char, 64> buffer;
  const auto result = std::to_chars(buffer.data(),
                                    buffer.data() + buffer.size(),
                                    value,
                                    std::chars_format::fixed,
                                    whole ? 0 : 3);
  return { buffer.data(), result.ptr };
}

boost::json::value
ToJson(const Cell& aCell)
{
  if (const auto* text = std::get_if<std::string>(&aCell)) {
    return boost::json::string(*text);
  }
  return std::get<double>(aCell);
}

} // namespace

void
Report::StartTable(std::string aName, std::vector<std::string> aColumns)
{
  mTables.push_back({ std::move(aName), std::move(aColumns), {} });
}

void
Report::AddRow(std::vector<Cell> aCells)
{
  mTables.back().mRows.push_back(std::move(aCells));
}

void
Report::Append(Report aOther)
{
  std::ranges::move(aOther.mTables, std::back_inserter(mTables));
}

void
Report::PrintTable(const ReportTable& aTable, std::ostream& aOut)
{
  std::vector<std::vector<std::string>> lines{ aTable.mColumns };
  for (const auto& row : aTable.mRows) {
    auto& line = lines.emplace_back();
    std::ranges::transform(row, std::back_inserter(line), ToText);
  }
  std::vector<size_t> widths(aTable.mColumns.size());
  for (const auto& line : lines) {
    for (size_t i = 0; i < line.size(); ++i) {
      widths[i] = std::max(widths[i], line[i].size());
    }
  }
  aOut << aTable.mName << '\n';
  for (const auto& line : lines) {
    for (size_t i = 0; i < line.size(); ++i) {
      aOut << "  " << std::setw(static_cast<int>(widths[i])) << line[i];
    }
    aOut << '\n';
  }
}

void
Report::PrintText(std::ostream& aOut) const
{
  for (const ReportTable& table : mTables) {
    PrintTable(table, aOut);
    aOut << '\n';
  }
}

void
Report::PrintJson(std::ostream& aOut) const
{
  boost::json::object tables;
  for (const ReportTable& table : mTables) {
    boost::json::array rows;
    for (const auto& row : table.mRows) {
      boost::json::object cells;
      for (size_t i = 0; i < row.size(); ++i) {
        cells[table.mColumns[i]] = ToJson(row[i]);
      }
      rows.push_back(std::move(cells));
    }
    tables[table.mName] = std::move(rows);
  }
  aOut << boost::json::serialize(tables) << '\n';
}

} // namespace snipepost::bench
