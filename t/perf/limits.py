#!/usr/bin/env python3
"""Evaluates p0004-limits.sh: histories of callers and slices over time.

watch SECONDS ADDRESS...: polls the /status of the entries and prints on each
line the time, the number of entries that replied, and for each of the first
two accounts the sum of its slices over the entries.
report BUDGET: reads the histories in the current directory and prints the
result as JSON.
"""

import concurrent.futures
import glob
import json
import sys
import time
import urllib.request

POLL_S = 0.1
ACCOUNTS = ["a%d" % i for i in range(1, 11)]
SMALL = ACCOUNTS[2:]
ENTRIES = 8
CUT_OFF_SHARE = 0.1  # "cut_off_share" of the document
WINDOW_S = 10.0
SETTLED_ERROR = 0.05  # relative to the fair share


def slices(address):
    """Returns the slices of all accounts at one entry, or None on error."""
    url = "http://%s:7102/status" % address
    try:
        with urllib.request.urlopen(url, timeout=0.5) as answer:
            accounts = json.load(answer)["limits"]["accounts"]
    except (OSError, ValueError, KeyError):
        return None
    return {a: accounts[a]["requests_per_second"] for a in accounts}


def watch(seconds, addresses):
    end = time.time() + seconds
    with concurrent.futures.ThreadPoolExecutor(len(addresses)) as pool:
        while time.time() < end:
            now = time.time()
            rows = [r for r in pool.map(slices, addresses) if r]
            sums = [sum(r.get(a, 0) for r in rows) for a in ACCOUNTS[:2]]
            print(now, len(rows), *sums, flush=True)
            time.sleep(POLL_S)


def histories(name):
    """Returns the calls of a load by account."""
    out = {}
    for path in glob.glob("%s-a*.history" % name):
        account = path.split("-")[-1].split(".")[0]
        with open(path) as lines:
            out[account] = [json.loads(line) for line in lines]
    return out


def is_admitted(call):
    return call["outcome"] == "answer"


def window(calls, skip_s, length_s=WINDOW_S):
    """Returns the calls of a window, skip_s after the first call."""
    first_ms = min(c["start_ms"] for a in calls.values() for c in a)
    start_ms = first_ms + skip_s * 1000
    end_ms = start_ms + length_s * 1000
    return {
        a: [c for c in rows if start_ms <= c["start_ms"] < end_ms]
        for a, rows in calls.items()
    }


def fair_rates(offered, budget):
    """Returns the max-min fair rate of each account at equal shares."""
    fair, left, accounts = {}, budget, sorted(offered, key=offered.get)
    while accounts:
        part = left / len(accounts)
        account = accounts.pop(0)
        fair[account] = min(offered[account], part)
        left -= fair[account]
    return fair


def p99(calls):
    latencies = sorted(
        c["end_ms"] - c["start_ms"] for c in calls if is_admitted(c)
    )
    if not latencies:
        return float("nan")
    return latencies[int((len(latencies) - 1) * 0.99)]


def rates(calls, test=lambda c: True):
    return {
        a: sum(1 for c in rows if test(c)) / WINDOW_S
        for a, rows in calls.items()
    }


def settle_time(name, fair_rate):
    """Returns the time from the event until the slices have settled.

    They have when the mean over each second from then on is within 5% of the
    fair rate.  Returns None if they never do.
    """
    with open(name + ".at") as f:
        event = float(f.read())
    with open(name + ".times") as lines:
        rows = [[float(x) for x in line.split()] for line in lines]
    rows = [r for r in rows if r[0] >= event]
    settled = None
    for i, row in enumerate(rows):
        second = [r for r in rows[i:] if r[0] < row[0] + 1]
        if rows[-1][0] < row[0] + 1:
            break
        means = [
            sum(r[k] for r in second) / len(second) for k in (2, 3)
        ]
        if any(abs(m / fair_rate - 1) > SETTLED_ERROR for m in means):
            settled = None
        elif settled is None:
            settled = row[0] - event
    return settled


def over_admission(name, budget):
    calls = window(histories(name), 4)
    return sum(rates(calls, is_admitted).values()) / budget


def report(budget):
    together = window(histories("together"), 5)
    offered = rates(together)
    admitted = rates(together, is_admitted)
    fair = fair_rates(offered, budget)
    errors = {a: admitted[a] / fair[a] - 1 for a in fair}
    alone = histories("alone")
    ratios = {a: p99(together[a]) / p99(alone[a]) for a in SMALL}
    refused_ms = [
        c["end_ms"] - c["start_ms"]
        for rows in together.values()
        for c in rows
        if not is_admitted(c)
    ]
    times = [settle_time(n, budget / 2) for n in ("died", "came")]
    result = {
        "entries": ENTRIES,
        "accounts": len(ACCOUNTS),
        "worst_share_error": max(abs(e) for e in errors.values()),
        "small_p99_ratio": max(ratios.values()),
        "over_admission": max(
            over_admission("apart", budget), over_admission("parted", budget)
        ),
        "over_admission_bound": 1 + CUT_OFF_SHARE * (ENTRIES // 2),
        "converge_seconds": None if None in times else max(times),
        "refused_p99_ms": sorted(refused_ms)[
            int((len(refused_ms) - 1) * 0.99)
        ],
        "attempts_per_call": sum(
            c["attempts"] for rows in together.values() for c in rows
        )
        / sum(len(rows) for rows in together.values()),
    }
    print(json.dumps(result))
    details = {"errors": errors, "ratios": ratios, "times": times}
    print(json.dumps(details), file=sys.stderr)


if __name__ == "__main__":
    if sys.argv[1] == "watch":
        watch(float(sys.argv[2]), sys.argv[3:])
    else:
        report(float(sys.argv[2]))
