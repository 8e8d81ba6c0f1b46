#!/usr/bin/env python3
"""Generates docs/FAULT-MATRIX.md from the names of the tests, or checks it.

  fault-matrix.py            writes the page
  fault-matrix.py --check    fails when the page is not up to date

A test case belongs to the matrix when its name starts with labels such as
"P4_" or "P1_P8_", the invariants (rows) that it checks. The patterns in
tools/fault-matrix.conf are matched against the rest of the name to find its
columns; [also] in that file lists further columns of a case. Both modes fail
when a labelled case has no column, [also] names a case that does not exist, an
invariant has no test, or a cell has neither a test nor a reason.
Uses the standard library only.
"""
import pathlib
import re
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs" / "FAULT-MATRIX.md"
CONF = ROOT / "tools" / "fault-matrix.conf"
CASE = re.compile(r"BOOST_(?:AUTO|FIXTURE|DATA)_TEST_CASE\(\s*(\w+)")
PROCESS = re.compile(r"^process_test\((\w+) (\w+)", re.MULTILINE)
# Invariants that functions of tests/Process/Common.sh check, in addition to the
# labels in a test's name.
PROCESS_CHECKS = {"expect_correct_outcomes": ["P5", "P6", "P7"],
                  "expect_unbroken": ["P1"],
                  "expect_own_service": ["P2"]}
SEED = re.compile(r"\bk\w*Seed\s*=\s*(\w+);")
TABLES = ("faults", "steps")


def read_conf():
    conf = {}
    section = None
    for line in CONF.read_text().splitlines():
        line = line.strip()
        if not line or line.startswith("#"):
            continue
        if line.startswith("["):
            section = conf.setdefault(line.strip("[]"), [])
        else:
            section.append([part.strip() for part in line.split("|", 2)])
    return conf


def read_tests():
    """Returns the labelled tests by name.

    Each has its invariants ("rows"), the rest of its name after the labels
    ("words") and its seed.
    """
    tests = {}
    for path in sorted((ROOT / "tests").rglob("*.cpp")):
        text = path.read_text()
        cmake = path.parent / "CMakeLists.txt"
        program = re.search(r"snipepost_test\(\s*(\w+)", cmake.read_text()
                            if cmake.exists() else "")
        suite = re.search(r"BOOST_\w+_TEST_SUITE\(\s*(\w+)", text)
        seed = SEED.search(text)
        for case in CASE.findall(text):
            labels = re.match(r"((?:P\d+_)+)(.*)", case)
            if not program or not labels:
                continue
            name = f"{program[1]}/{suite[1] if suite else '-'}/{case}"
            tests[name] = {
                "rows": labels[1].strip("_").split("_"),
                "words": labels[2],
                "seed": seed[1] if seed else None,
            }
    tests.update(read_process_tests())
    return tests


def read_process_tests():
    tests = {}
    folder = ROOT / "tests" / "Process"
    for case, script in PROCESS.findall((folder / "CMakeLists.txt").read_text()):
        labels = re.match(r"((?:P\d+_)+)(.*)", case)
        if not labels:
            continue
        text = (folder / f"{script}.sh").read_text()
        rows = set(labels[1].strip("_").split("_"))
        for check, implied in PROCESS_CHECKS.items():
            rows.update(implied if check in text else [])
        # 1 is the default of SEED in tests/Process/Common.sh.
        tests[f"Process/{script}/{case}"] = {
            "rows": sorted(rows), "words": labels[2], "seed": "1"}
    return tests


def assign_columns(conf, tests, errors):
    """Adds the columns of each test, from its name and [also]."""
    also = {}
    known = {entry[0] for table in TABLES for entry in conf[table]}
    for entry in conf["also"]:
        columns = entry[1].split()
        also.setdefault(entry[0], []).extend(columns)
        errors += [f"[also] {entry[0]}: unknown column {column}"
                   for column in columns if column not in known]
    cases = {name.split("/")[-1] for name in tests}
    errors += [f"[also] names {case}, which does not exist"
               for case in also if case not in cases]
    for name, test in tests.items():
        columns = set(also.get(name.split("/")[-1], []))
        for table in TABLES:
            for key, _, pattern in conf[table]:
                if pattern != "-" and re.search(pattern, test["words"]):
                    columns.add(key)
        test["columns"] = columns
        if not columns:
            errors.append(f"{name}: matches no column; name the fault in the "
                          "name of the case or add the case to [also]")


def reasons_of(conf):
    """Returns the reason for each (invariant, column).

    Later lines override earlier ones; * means all.
    """
    rows = [entry[0] for entry in conf["invariants"]]
    columns = [entry[0] for table in TABLES for entry in conf[table]]
    reasons = {}
    for for_rows, for_columns, text in conf["reasons"]:
        for row in rows if for_rows == "*" else for_rows.split():
            for column in (columns if for_columns == "*"
                           else for_columns.split()):
                reasons[row, column] = text
    return reasons


def render(conf, tests, errors):
    names = sorted(tests)
    number = {name: f"T{i + 1}" for i, name in enumerate(names)}
    reasons = reasons_of(conf)
    used = []
    counts = {"test": 0, "not proved": 0, "cannot occur": 0}

    def cell(row, column):
        found = [number[n] for n in names
                 if row in tests[n]["rows"] and column in tests[n]["columns"]]
        if found:
            counts["test"] += 1
            return " ".join(found)
        reason = reasons.get((row, column))
        if reason is None:
            errors.append(f"{row} x {column}: neither test nor reason")
            return "?"
        counts[reason.split(":")[0]] += 1
        if reason not in used:
            used.append(reason)
        kind = "N" if reason.startswith("not proved") else "C"
        return f"{kind}{used.index(reason) + 1}"

    lines = [
        "# Fault matrix", "",
        "Written by `tools/fault-matrix.py` from the names of the tests and "
        "`tools/fault-matrix.conf`; do not edit. `tools/check.sh` fails when "
        "it is out of date.", "",
        "Cells: `T` a test, `N` not proved, `C` cannot occur; the numbers are "
        "explained below the tables.", "",
        "## Invariants", ""]
    for key, text in conf["invariants"]:
        lines.append(f"- {key} {text}")
        if not any(key in tests[n]["rows"] for n in names):
            errors.append(f"{key}: no test has this label")
    keys = [entry[0] for entry in conf["invariants"]]
    for table, title in (("faults", "Faults"), ("steps", "Steps")):
        lines += ["", f"## {title}", "",
                  "| | " + " | ".join(entry[1] for entry in conf[table]) + " |",
                  "|---|" + "---|" * len(conf[table])]
        for key in keys:
            lines.append(f"| {key} | " + " | ".join(
                cell(key, entry[0]) for entry in conf[table]) + " |")
    lines += ["", "## Tests", ""]
    for name in names:
        seed = tests[name]["seed"]
        lines.append(f"- {number[name]} `{name}`" +
                     (f", seed {seed}" if seed else ""))
    lines += ["", "## Reasons", ""]
    for i, reason in enumerate(used):
        kind = "N" if reason.startswith("not proved") else "C"
        lines.append(f"- {kind}{i + 1} {reason}")
    lines += ["", f"{counts['test']} cells with a test, "
              f"{counts['not proved']} not proved, "
              f"{counts['cannot occur']} cannot occur."]
    return "\n".join(lines) + "\n"


def main():
    conf, tests, errors = read_conf(), read_tests(), []
    assign_columns(conf, tests, errors)
    page = render(conf, tests, errors)
    if "--check" in sys.argv[1:]:
        if not PAGE.exists() or PAGE.read_text() != page:
            errors.append("docs/FAULT-MATRIX.md is out of date; run "
                          "tools/fault-matrix.py")
    else:
        PAGE.write_text(page)
    for error in errors:
        print(f"fault-matrix: {error}", file=sys.stderr)
    return 1 if errors else 0


if __name__ == "__main__":
    sys.exit(main())
