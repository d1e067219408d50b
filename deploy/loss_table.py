#!/usr/bin/env python3
"""Prints where the worth of one played day was lost, as a table that adds up.

usage: loss_table.py SITE.toml REPORT.json [REPORT.json ...]

REPORT is what the users' bench writes with --report. The rows of several
reports are averaged. The words of the bench are read here and nowhere else.
"""
import json
import sys
import tomllib
from collections import defaultdict

CLOSING_LEAD_S = 8  # answers that began this long before a loss may be cut by it


def losses_by_class(report, site):
    """Splits the loss of the whole day by kind of request and by reason."""
    declared = {it["name"]: it for it in site["classes"]}
    owed = {it["name"]: (it["n"] - it["not_owed"]) * declared[it["name"]]["worth"]
            for it in report["classes"]}
    total = sum(owed.values())
    rows = {}
    for it in report["classes"]:
        kind = declared[it["name"]]
        count = max(1, it["n"] - it["not_owed"])
        share = owed[it["name"]] / total
        late_part = 1 - kind["late_worth"] / kind["worth"]
        reasons = {
            "late": share * it["late"] / count * late_part,
            "rejected": share * it["refused"] / count,
            "failed": share * it["failed"] / count,
        }
        # What is left: answers of a model that was too small, and requests that
        # are larger than the mean of their kind.
        reasons["too small a model, size"] = (
            share * (1 - it["worth"]) - sum(reasons.values()))
        for reason, value in reasons.items():
            rows[it["name"], reason] = value
    return rows


def table_of(report, site):
    """Returns the rows of one report; they add up to 1 less its worth."""
    rows = {}
    for name, weight, value in report["parts"]:
        if name != "whole day":
            rows["parts", name] = weight * (1 - value)
            continue
        by_class = losses_by_class(report, site)
        for key, loss in by_class.items():
            rows[key] = weight * loss
        rows["parts", "whole day, rounding"] = (
            weight * (1 - value) - weight * sum(by_class.values()))
    for name, _, price in report["prices"]:
        if price > 0:
            rows["prices", name] = price
    return rows


def losses_by_moment(report):
    """Returns the share of the whole day's loss around the last loss of all
    processes, or None if the day has none."""
    closing = [it["at_s"] for it in report["events"]
               if it["kind"].startswith("closing")]
    if not closing:
        return None
    lost = near = 0.0
    for it in report["windows"]:
        loss = (it["n"] - it["not_owed"]) * (1 - it["worth"])
        lost += loss
        if closing[0] - CLOSING_LEAD_S <= float(it["name"]) <= closing[0] + 2:
            near += loss
    return near / lost if lost else 0.0


def main():
    with open(sys.argv[1], "rb") as file:
        site = tomllib.load(file)
    reports = []
    for path in sys.argv[2:]:
        with open(path, encoding="utf-8") as file:
            reports.append(json.load(file))
    sums = defaultdict(float)
    for report in reports:
        for key, loss in table_of(report, site).items():
            sums[key] += loss / len(reports)
    print("| where | reason | worth lost |\n| --- | --- | --- |")
    for (where, reason), loss in sorted(sums.items(), key=lambda it: -it[1]):
        if abs(loss) >= 0.0005:
            print(f"| {where} | {reason} | {loss:.4f} |")
    small = sum(it for it in sums.values() if abs(it) < 0.0005)
    print(f"| all others | under 0.0005 each | {small:.4f} |")
    print(f"| sum | | {sum(sums.values()):.4f} |")
    worth = sum(it["G"] for it in reports) / len(reports)
    print(f"\nworth {worth:.4f}, 1 - worth {1 - worth:.4f}, {len(reports)} reports")
    moments = [it for it in map(losses_by_moment, reports) if it is not None]
    if moments:
        print(f"of the whole day's loss near the loss of all processes: "
              f"{sum(moments) / len(moments):.2f}")


if __name__ == "__main__":
    if len(sys.argv) < 3:
        sys.exit(__doc__)
    main()
