#!/usr/bin/env python3
"""Turns the points of p0009-capacity.sh into slopes and the page's table.

Usage: capacity.py POINTS.jsonl docs/CAPACITY.md
Replaces what stands between the two markers of the page.
"""

import json
import sys
from collections import defaultdict

BEGIN = "<!-- measured: begin -->"
END = "<!-- measured: end -->"

# The size named by the users.
DATA_CENTERS = 10
ENTRIES = 370
AGENTS = 600
CALLS = 3000.0
EVENTS = 1.3e6
ANSWER_S = 20.0  # open time of a call: 400 tokens at 50 ms
CPU_LIMIT = 2.4
BYTES_LIMIT = 18000
RSS_LIMIT = 256


def line_fit(points):
    """Least squares; returns intercept and slope."""
    n = len(points)
    mx = sum(x for x, _ in points) / n
    my = sum(y for _, y in points) / n
    sxx = sum((x - mx) ** 2 for x, _ in points)
    slope = sum((x - mx) * (y - my) for x, y in points) / sxx if sxx else 0.0
    return my - slope * mx, slope


def main():
    rows = defaultdict(list)
    with open(sys.argv[1], encoding="utf-8") as file:
        for line in file:
            point = json.loads(line)
            rows[point["role"], point["cause"]].append(point)
    fits = {}
    out = ["| role | cause | points | CPU, % of a core | control, bytes/s "
           "| memory, MB |", "|---|---|---|---|---|---|"]
    for (role, cause), points in sorted(rows.items()):
        cells = []
        for field in ("cpu_percent", "control_bytes_per_second", "rss_mb"):
            a, b = line_fit([(p["x"], p[field]) for p in points])
            fits[role, cause, field] = (a, b)
            cells.append(f"{a:.3g} + {b:.3g} x")
        xs = ", ".join(f"{p['x']:.4g}" for p in points)
        out.append(f"| {role} | {cause} | {xs} | " + " | ".join(cells) + " |")
    out += ["", *estimate(fits)]
    with open(sys.argv[2], encoding="utf-8") as file:
        page = file.read()
    head, rest = page.split(BEGIN)
    tail = rest.split(END)[1]
    with open(sys.argv[2], "w", encoding="utf-8") as file:
        file.write(head + BEGIN + "\n" + "\n".join(out) + "\n" + END + tail)


def at(fits, role, cause, field, x):
    """The fit's value at x; a fit that falls says nothing beyond its points,
    so its intercept stands for the bound."""
    a, b = fits.get((role, cause, field), (0.0, 0.0))
    return a + max(b, 0.0) * x


def slope(fits, role, cause, field):
    return fits.get((role, cause, field), (0.0, 0.0))[1]


def estimate(fits):
    size = ENTRIES + AGENTS
    out = ["| role at that size | control CPU, % | control, bytes/s "
           "| data CPU, % | memory, MB |", "|---|---|---|---|---|"]
    for role, count in (("entry", ENTRIES), ("agent", AGENTS)):
        cpu = at(fits, role, "processes", "cpu_percent", size)
        control = at(fits, role, "processes", "control_bytes_per_second", size)
        calls = CALLS / count
        events = EVENTS / count
        data = (calls * slope(fits, role, "calls", "cpu_percent") +
                events * slope(fits, role, "events", "cpu_percent"))
        rss = (at(fits, role, "processes", "rss_mb", size) +
               calls * ANSWER_S * max(0.0, slope(fits, role, "streams",
                                                 "rss_mb")))
        out.append(f"| {role} (limit) | {cpu:.2f} ({CPU_LIMIT}) "
                   f"| {control:.0f} ({BYTES_LIMIT}) | {data:.1f} "
                   f"| {rss:.0f} ({RSS_LIMIT}) |")
    return out


if __name__ == "__main__":
    main()
