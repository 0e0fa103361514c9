#!/usr/bin/env python3
"""Fits lines to the output of p0009-capacity.sh and updates the capacity page.

Usage: capacity.py POINTS.jsonl docs/CAPACITY.md
Replaces the text between the two markers of the page.
"""

import json
import sys
from collections import defaultdict

BEGIN = "<!-- measured: begin -->"
END = "<!-- measured: end -->"

# The fleet size that the users asked for.
DATA_CENTERS = 10
ENTRIES = 370
AGENTS = 600
CALLS = 3000.0  # per second, in the fleet
EVENTS = 1.3e6  # per second, in the fleet
ANSWER_S = 20.0  # duration of a call: 400 tokens at 50 ms
CPU_LIMIT = 2.4
BYTES_LIMIT = 18000
RSS_LIMIT = 256


def line_fit(points):
    """Returns intercept and slope of a least-squares fit."""
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
            intercept, slope = line_fit([(p["x"], p[field]) for p in points])
            fits[role, cause, field] = (intercept, slope)
            cells.append(f"{intercept:.3g} + {slope:.3g} x")
        xs = ", ".join(f"{p['x']:.4g}" for p in points)
        out.append(f"| {role} | {cause} | {xs} | " + " | ".join(cells) + " |")
    out += ["", *estimate(fits)]
    with open(sys.argv[2], encoding="utf-8") as file:
        page = file.read()
    head, rest = page.split(BEGIN)
    tail = rest.split(END)[1]
    with open(sys.argv[2], "w", encoding="utf-8") as file:
        file.write(head + BEGIN + "\n" + "\n".join(out) + "\n" + END + tail)


def estimate_at(fits, role, cause, field, x):
    """Returns the value of a fit at x.

    A negative slope can't be extrapolated beyond the measured points; the
    intercept is used as an upper bound instead.
    """
    intercept, slope = fits.get((role, cause, field), (0.0, 0.0))
    return intercept + max(slope, 0.0) * x


def slope_of(fits, role, cause, field):
    return fits.get((role, cause, field), (0.0, 0.0))[1]


def estimate(fits):
    size = ENTRIES + AGENTS
    out = ["| role at that size | control CPU, % | control, bytes/s "
           "| data CPU, % | memory, MB |", "|---|---|---|---|---|"]
    for role, count in (("entry", ENTRIES), ("agent", AGENTS)):
        cpu = estimate_at(fits, role, "processes", "cpu_percent", size)
        control = estimate_at(fits, role, "processes",
                              "control_bytes_per_second", size)
        calls = CALLS / count
        events = EVENTS / count
        data = (calls * slope_of(fits, role, "calls", "cpu_percent") +
                events * slope_of(fits, role, "events", "cpu_percent"))
        rss = (estimate_at(fits, role, "processes", "rss_mb", size) +
               calls * ANSWER_S * max(0.0, slope_of(fits, role, "streams",
                                                    "rss_mb")))
        out.append(f"| {role} (limit) | {cpu:.2f} ({CPU_LIMIT}) "
                   f"| {control:.0f} ({BYTES_LIMIT}) | {data:.1f} "
                   f"| {rss:.0f} ({RSS_LIMIT}) |")
    return out


if __name__ == "__main__":
    main()
