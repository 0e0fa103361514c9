#!/usr/bin/env python3
"""Checks the histories of callers against the runs that upstreams counted.

Reads the history files of t/helper/caller.c and the /standin/runs dumps of
model engines and plain services.  Prints a row for each invariant with the
number of checks and of violations.  Exits with 1 on a violation and with 2
if the input is invalid.
"""

import argparse
import json
import sys
from collections import Counter, defaultdict

DETAILS_MAX = 5
OUTCOMES = {"answer", "not-run", "unknown", "error"}


class Invariant:
    """An invariant with the number of its checks and its violations."""

    def __init__(self, name):
        self.name = name
        self.checked = 0
        self.violations = []

    def check(self, holds, subject, message):
        self.checked += 1
        if not holds:
            self.violations.append(f"{subject}: {message}")


def read_history(path):
    with open(path, encoding="utf-8") as file:
        calls = [json.loads(line) for line in file]
    for call in calls:
        if call["outcome"] not in OUTCOMES or call["kind"] not in (
                "model", "plain"):
            raise ValueError(f"{path}: {call['id']}: invalid outcome "
                             f"{call['outcome']!r} or kind {call['kind']!r}")
    return calls


def read_runs(paths, member):
    """Sums the dumps of several upstream processes; None if there are none."""
    if not paths:
        return None
    runs = Counter()
    for path in paths:
        with open(path, encoding="utf-8") as file:
            runs.update(json.load(file)[member])
    return runs


def did_not_run(attempt):
    """Whether an attempt was answered "not run" or was never sent."""
    return attempt["outcome"] == "not-run" or (
        attempt["outcome"] == "error" and attempt["status"] == 0)


def attempts_of(call):
    """Returns the attempts of a call in order."""
    return call.get("earlier", []) + [call]


def check_answers(calls):
    complete = Invariant("an answer is complete")
    matching = Invariant("an answer belongs to its request")
    single = Invariant("an answer has a single version")
    stated = Invariant("a reply states its outcome")
    contents = {}
    for call in calls:
        name = call["id"]
        for attempt in attempts_of(call):
            matching.check(not attempt.get("crossed"), name,
                           "answer has the ID of another request")
        if call["outcome"] == "answer":
            complete.check(call["whole"], name,
                           call.get("problem", "incomplete answer"))
        for attempt in attempts_of(call) if call["kind"] == "model" else []:
            single.check(not attempt.get("mixed"), name,
                         attempt.get("problem", "mixed versions"))
        if call["kind"] == "model":
            content = call["content"]
            if content:
                first = contents.setdefault(call["version"], content)
                single.check(first == content, call["version"],
                             f"a second content digest in {name}")
        for attempt in attempts_of(call):
            if attempt["status"] != 0:
                has_no_ticket = attempt.get("problem", "").startswith(
                    "no ticket")
                stated.check(attempt["outcome"] != "error" or has_no_ticket,
                             name,
                             f"status {attempt['status']} without outcome")
    return [complete, matching, single, stated]


def is_reported_not_run(calls):
    """Whether all calls with one request ID were told that it did not run.

    The attempts and duplicates of a call share its ID.  Either each of them
    was refused, or the last refusal has scope "key", which also covers the
    attempts before it.
    """
    if all(did_not_run(a) for call in calls for a in attempts_of(call)):
        return True
    return (len(calls) == 1 and calls[0]["outcome"] == "not-run"
            and calls[0].get("scope") == "key")


def check_runs(calls, engine_runs, plain_requests):
    """Compares the outcomes that callers saw with the runs of upstreams."""
    not_run = Invariant("a request reported as not run did not run")
    ran = Invariant("an answered request ran")
    once = Invariant("a call runs at most once")
    by_id = defaultdict(list)
    for call in calls:
        by_id[call["kind"], call["id"]].append(call)
    for (kind, name), same_id in by_id.items():
        counts = engine_runs if kind == "model" else plain_requests
        if counts is None:
            continue
        runs = counts[name]
        if is_reported_not_run(same_id):
            not_run.check(runs == 0, name, f"ran {runs} times")
        if any(call["outcome"] == "answer" for call in same_id):
            ran.check(runs > 0, name, "answered but never ran")
        if kind == "plain" and not same_id[0].get("repeatable"):
            once.check(runs <= 1, name, f"ran {runs} times")
    return [not_run, ran, once]


def check_keys(calls, plain_runs):
    """Checks the runs of each key, also of keys that are in no history.

    Upstreams count a call without key or ticket under its request ID; these
    are not checked.
    """
    once = Invariant("a key runs at most once")
    if plain_runs is None:
        return once
    keyless = {call["id"] for call in calls
               if "key" not in call and not call.get("ticket")}
    repeatable = {call.get("run_key", call.get("key")) for call in calls
                  if call["kind"] == "plain" and call.get("repeatable")}
    for key in sorted(set(plain_runs) - keyless - repeatable):
        once.check(plain_runs[key] <= 1, key, f"ran {plain_runs[key]} times")
    return once


def print_rows(invariants):
    width = max(len(invariant.name) for invariant in invariants)
    print(f"{'invariant':{width}} {'checked':>9} {'violations':>10}")
    for invariant in invariants:
        print(f"{invariant.name:{width}} {invariant.checked:9} "
              f"{len(invariant.violations):10}")
    for invariant in invariants:
        for violation in invariant.violations[:DETAILS_MAX]:
            print(f"violation: {invariant.name}: {violation}")


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--engine-runs", action="append", metavar="FILE",
                        help="/standin/runs dump of model engines")
    parser.add_argument("--plain-runs", action="append", metavar="FILE",
                        help="/standin/runs dump of plain services")
    parser.add_argument("history", nargs="+", metavar="HISTORY")
    args = parser.parse_args()
    try:
        calls = [call for path in args.history for call in read_history(path)]
        engine_runs = read_runs(args.engine_runs, "runs")
        plain_runs = read_runs(args.plain_runs, "runs")
        plain_requests = read_runs(args.plain_runs, "requests")
        if not calls:
            raise ValueError("no calls")
        invariants = check_answers(calls)
        invariants += check_runs(calls, engine_runs, plain_requests)
        invariants.append(check_keys(calls, plain_runs))
    except (OSError, ValueError, KeyError, TypeError) as error:
        print(f"history-check: {type(error).__name__}: {error}",
              file=sys.stderr)
        return 2
    print_rows(invariants)
    return 1 if any(invariant.violations for invariant in invariants) else 0


if __name__ == "__main__":
    sys.exit(main())
