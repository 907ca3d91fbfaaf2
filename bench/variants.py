"""Writes changed copies of a site file, so that other deployments than the users' two can be played.

``python bench/variants.py SITE FOLDER`` writes one file a variant into FOLDER; nothing of the site
is kept in this repository. Each variant changes what the design must not depend on.
"""

import re
import sys
from collections.abc import Callable
from pathlib import Path

Change = Callable[[str], str]


def scale(field: str, factor: float, least: float = 1) -> Change:
    """Return a change that multiplies every ``field``."""

    def change(text: str) -> str:
        def changed(match: re.Match[str]) -> str:
            value = max(least, float(match[2]) * factor)
            return f"{match[1]}{value:g}" if "." in match[2] else f"{match[1]}{round(value)}"

        return re.sub(rf"(\b{field} = )([0-9.]+)", changed, text)

    return change


def replace(pattern: str, text_after: str) -> Change:
    """Return a change that replaces what ``pattern`` matches."""
    return lambda text: re.sub(pattern, text_after, text)


VARIANTS: dict[str, tuple[Change, ...]] = {
    "no-load-far": (
        replace(r"load_header = true", "load_header = false"),
        scale("cross_zone_ms", 4, 0.1),
        scale("client_ms", 2, 0.1),
        scale("aim_ms", 1.3),
    ),
    "tight-connections": (scale("conn_cap", 0.6), scale("queue", 0.4), scale("handshake_ms", 3)),
    "long-pauses": (scale("pause_ms", 2), scale("pause_every_s", 2), scale("slots", 0.6)),
    "poor-budget": (scale("budget_slack", 0.4), scale("budget_ratio", 0.6, 0.05), scale("config_ms", 0.6)),
    "hasty-stop": (scale("grace_s", 0.7), scale("drain_ms", 0.6), scale("beat_ms", 2), scale("per_s", 1.0)),
}


def main() -> int:
    """Write the variants; return the exit code."""
    if len(sys.argv) != 3:
        print("usage: variants.py SITE FOLDER", file=sys.stderr)
        return 2
    site, folder = Path(sys.argv[1]), Path(sys.argv[2])
    text = site.read_text()
    for name, changes in VARIANTS.items():
        changed = text
        for change in changes:
            changed = change(changed)
        out = folder / f"{site.stem}-{name}.toml"
        out.write_text(changed.replace(f'name = "{site.stem}"', f'name = "{site.stem}-{name}"', 1))
        print(out)
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
