#pragma once

#include <ostream>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace snipepost::bench {

using Cell = std::variant<std::string, double>;

/// Measured figures as named tables. Units are part of the column names.
class Report
{
public:
  /// Starts a table, to which AddRow() adds rows.
  void StartTable(std::string aName, std::vector<std::string> aColumns);
  void AddRow(std::vector<Cell> aCells);

  /// Adds the tables of another report.
  void Append(Report aOther);

  /// File to which a mode that supports plots writes an SVG; empty for none.
  void SetPlotFile(std::string aFile) { mPlotFile = std::move(aFile); }
  const std::string& PlotFile() const { return mPlotFile; }

  /// Plain text with aligned columns.
  void PrintText(std::ostream& aOut) const;

  /// One object: table name to a list of rows, each an object by column name.
  void PrintJson(std::ostream& aOut) const;

private:
  struct ReportTable
  {
    std::string mName;
    std::vector<std::string> mColumns;
    std::vector<std::vector<Cell>> mRows;
  };

  static void PrintTable(const ReportTable& aTable, std::ostream& aOut);

  std::vector<ReportTable> mTables;
  std::string mPlotFile;
};

} // namespace snipepost::bench
