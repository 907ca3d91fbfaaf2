"""Prints entries of the journal as a table of ``worth`` by day and part, for ``docs/decisions.md``.

python bench/journal_table.py journal/20261202T134358-4037b4e3.json ...
"""

import json
import sys
from pathlib import Path
from typing import Any

HEAD = "| site, day | worth | whole day | nines | worst windows | worst class | prices | most for |"
RULE = "| --- | --- | --- | --- | --- | --- | --- | --- |"
TROUBLED = ("trouble", "scale")


def row(site: str, day: dict[str, Any]) -> str:
    """Return one day's line."""
    parts = {name: f"{value:.3f}" for name, _, value in day["parts"]}
    prices = sorted(((price, name) for name, _, price in day["prices"]), reverse=True)
    total = sum(price for price, _ in prices)
    most = ", ".join(f"{name} {price:.3f}" for price, name in prices[:3])
    figures = [parts.get(name, "-") for name in ("whole day", "nines", "worst windows", "worst class")]
    broken = "".join(f" **{rule}**" for rule in day["rules"]) + (" **fault**" if day["fault"] else "")
    name = f"{site} {day['name']}{broken}"
    return f"| {name} | {day['G']:.3f} | {' | '.join(figures)} | {total:.3f} | {most} |"


def main() -> None:
    """Print the table of the entries that are named."""
    print(HEAD)
    print(RULE)
    for name in sys.argv[1:]:
        entry = json.loads(Path(name).read_text())
        for day in entry["days"]:
            print(row(entry["site"], day))
        troubled = [
            day["G"]
            for day in entry["days"]
            if day["slot"] in TROUBLED and not day["name"].startswith("fresh")
        ]
        mean = sum(troubled) / max(1, len(troubled))
        print(f"| **{entry['site']}, mean of {len(troubled)} days with trouble** | {mean:.3f} | | | | | | |")


if __name__ == "__main__":
    main()
