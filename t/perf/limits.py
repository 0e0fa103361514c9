#!/usr/bin/env python3
"""Evaluates p0004-limits.sh: histories of callers and slices over time.

watch SECONDS ADDRESS...: polls /status and prints, for each
turn, the time and the sum of the first account's slices over the entries.
report BUDGET: reads the histories in the folder and prints the result.
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
CUT_OFF = 0.1
WINDOW_S = 10.0
SETTLED = 0.05  # of the due


def slices(address):
    """Returns the slices of all accounts at one entry; None if it is gone."""
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
            at = time.time()
            rows = [r for r in pool.map(slices, addresses) if r]
            sums = [sum(r.get(a, 0) for r in rows) for a in ACCOUNTS[:2]]
            print(at, len(rows), *sums, flush=True)
            time.sleep(POLL_S)


def histories(name):
    """Returns the calls of each account in a load."""
    out = {}
    for path in glob.glob("%s-a*.history" % name):
        account = path.split("-")[-1].split(".")[0]
        with open(path) as lines:
            out[account] = [json.loads(line) for line in lines]
    return out


def admitted(call):
    return call["outcome"] == "answer"


def window(calls, skip_s, length_s=WINDOW_S):
    """Calls that came in a window that starts skip_s after the first one."""
    first = min(c["start_ms"] for a in calls.values() for c in a)
    low = first + skip_s * 1000
    high = low + length_s * 1000
    return {
        a: [c for c in rows if low <= c["start_ms"] < high]
        for a, rows in calls.items()
    }


def dues(offered, budget):
    """Max-min fair dues at equal shares."""
    due, left, open_accounts = {}, budget, sorted(offered, key=offered.get)
    while open_accounts:
        part = left / len(open_accounts)
        account = open_accounts.pop(0)
        due[account] = min(offered[account], part)
        left -= due[account]
    return due


def p99(calls):
    took = sorted(c["end_ms"] - c["start_ms"] for c in calls if admitted(c))
    return took[int((len(took) - 1) * 0.99)] if took else float("nan")


def rates(calls, test=lambda c: True):
    return {
        a: sum(1 for c in rows if test(c)) / WINDOW_S
        for a, rows in calls.items()
    }


def settle_time(name, due):
    """Time from the event until each second's mean stays within 5% of due."""
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
        if any(abs(m / due - 1) > SETTLED for m in means):
            settled = None
        elif settled is None:
            settled = row[0] - event
    return settled


def over(name, budget):
    calls = window(histories(name), 4)
    return sum(rates(calls, admitted).values()) / budget


def report(budget):
    together = window(histories("together"), 5)
    offered = rates(together)
    got = rates(together, admitted)
    due = dues(offered, budget)
    errors = {a: got[a] / due[a] - 1 for a in due}
    alone = histories("alone")
    ratios = {a: p99(together[a]) / p99(alone[a]) for a in SMALL}
    late = [
        c["end_ms"] - c["start_ms"]
        for rows in together.values()
        for c in rows
        if not admitted(c)
    ]
    times = [settle_time(n, budget / 2) for n in ("died", "came")]
    result = {
        "entries": ENTRIES,
        "accounts": len(ACCOUNTS),
        "worst_share_error": max(abs(e) for e in errors.values()),
        "small_p99_ratio": max(ratios.values()),
        "over_admission": max(over("apart", budget), over("parted", budget)),
        "over_admission_bound": 1 + CUT_OFF * (ENTRIES // 2),
        "converge_seconds": None if None in times else max(times),
        "refused_p99_ms": sorted(late)[int((len(late) - 1) * 0.99)],
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
