#!/usr/bin/env python3
"""Judges the histories of callers against the runs that upstreams counted.

Reads the history files of t/helper/caller.c and the /standin/runs dumps of
model engines and plain services.  Prints a row for each promise with the
events that were checked and the violations among them.  Exits with 1 on a
violation and with 2 when the input can't be judged.
"""

import argparse
import json
import sys
from collections import Counter, defaultdict

DETAILS_MAX = 5
OUTCOMES = {"answer", "not-run", "unknown", "error"}


class Promise:
    """One promise with its count of checks and what broke it."""

    def __init__(self, name):
        self.name = name
        self.checked = 0
        self.broken = []

    def check(self, holds, subject, what):
        self.checked += 1
        if not holds:
            self.broken.append(f"{subject}: {what}")


def read_history(path):
    with open(path, encoding="utf-8") as file:
        calls = [json.loads(line) for line in file]
    for call in calls:
        if call["outcome"] not in OUTCOMES or call["kind"] not in (
                "model", "plain"):
            raise ValueError(f"{path}: bad line for {call['id']}")
    return calls


def read_runs(paths, member):
    """Sums the dumps of several upstream processes; None without dumps."""
    if not paths:
        return None
    runs = Counter()
    for path in paths:
        with open(path, encoding="utf-8") as file:
            runs.update(json.load(file)[member])
    return runs


def did_not_run(attempt):
    """Whether an attempt says that it did not run, or was never sent."""
    return attempt["outcome"] == "not-run" or (
        attempt["outcome"] == "error" and attempt["status"] == 0)


def attempts_of(call):
    """The attempts of a call in the order in which they were made."""
    return call.get("earlier", []) + [call]


def check_answers(calls):
    whole = Promise("an answer is whole")
    own = Promise("an answer is its caller's own")
    single = Promise("an answer has a single version")
    stated = Promise("a reply states its outcome")
    contents = {}
    for call in calls:
        name = call["id"]
        for attempt in attempts_of(call):
            own.check(not attempt.get("crossed"), name, "identity of another")
        if call["outcome"] == "answer":
            whole.check(call["whole"], name, call.get("problem", "not whole"))
        for attempt in attempts_of(call) if call["kind"] == "model" else []:
            single.check(not attempt.get("mixed"), name,
                         attempt.get("problem", "mixed"))
        if call["kind"] == "model":
            content = call["content"]
            if content:
                known = contents.setdefault(call["version"], content)
                single.check(known == content, call["version"],
                             f"two contents, the second in {name}")
        for attempt in attempts_of(call):
            if attempt["status"] != 0:
                ticket = attempt.get("problem", "").startswith("no ticket")
                stated.check(attempt["outcome"] != "error" or ticket, name,
                             f"status {attempt['status']} without outcome")
    return [whole, own, single, stated]


def said_not_run(same):
    """Whether the callers of one request may rely on it not having run.

    Attempts and doubles of a call share its identity: either every one of
    them was refused, or the last refusal speaks for all before it.
    """
    if all(did_not_run(a) for call in same for a in attempts_of(call)):
        return True
    return (len(same) == 1 and same[0]["outcome"] == "not-run"
            and same[0].get("scope") == "key")


def check_runs(calls, engine_runs, plain_requests):
    """Compares what callers were told with what upstreams ran."""
    not_run = Promise("not run means that it did not run")
    ran = Promise("an answer stems from a run")
    once = Promise("a call runs at most once")
    by_id = defaultdict(list)
    for call in calls:
        by_id[call["kind"], call["id"]].append(call)
    for (kind, name), same in by_id.items():
        counts = engine_runs if kind == "model" else plain_requests
        if counts is None:
            continue
        runs = counts[name]
        if said_not_run(same):
            not_run.check(runs == 0, name, f"ran {runs} times")
        if any(call["outcome"] == "answer" for call in same):
            ran.check(runs > 0, name, "answered but never run")
        if kind == "plain" and not same[0].get("repeatable"):
            once.check(runs <= 1, name, f"ran {runs} times")
    return [not_run, ran, once]


def check_keys(calls, plain_runs):
    """No key runs twice, whoever sent it; calls without one are let off."""
    once = Promise("a key runs at most once")
    if plain_runs is None:
        return once
    free = {call["id"] for call in calls
            if "key" not in call and not call.get("ticket")}
    repeatable = {call.get("run_key", call.get("key")) for call in calls
                  if call["kind"] == "plain" and call.get("repeatable")}
    for key in sorted(set(plain_runs) - free - repeatable):
        once.check(plain_runs[key] <= 1, key, f"ran {plain_runs[key]} times")
    return once


def print_rows(promises):
    width = max(len(promise.name) for promise in promises)
    print(f"{'promise':{width}} {'checked':>9} {'violations':>10}")
    for promise in promises:
        print(f"{promise.name:{width}} {promise.checked:9} "
              f"{len(promise.broken):10}")
    for promise in promises:
        for detail in promise.broken[:DETAILS_MAX]:
            print(f"violation: {promise.name}: {detail}")


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--engine-runs", action="append", metavar="FILE",
                        help="dump of the runs of model engines")
    parser.add_argument("--plain-runs", action="append", metavar="FILE",
                        help="dump of the runs of plain services")
    parser.add_argument("history", nargs="+", metavar="HISTORY")
    args = parser.parse_args()
    try:
        calls = [call for path in args.history for call in read_history(path)]
        engine_runs = read_runs(args.engine_runs, "runs")
        plain_runs = read_runs(args.plain_runs, "runs")
        plain_requests = read_runs(args.plain_runs, "requests")
        if not calls:
            raise ValueError("no calls")
        promises = check_answers(calls)
        promises += check_runs(calls, engine_runs, plain_requests)
        promises.append(check_keys(calls, plain_runs))
    except (OSError, ValueError, KeyError, TypeError) as error:
        print(f"history-check: {type(error).__name__}: {error}",
              file=sys.stderr)
        return 2
    print_rows(promises)
    return 1 if any(promise.broken for promise in promises) else 0


if __name__ == "__main__":
    sys.exit(main())
