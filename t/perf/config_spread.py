"""Measures the distribution of the configuration; see p0003-config.sh.

Runs in the trash directory of the benchmark, which has the settings of each
instance in NAME.json and its process ID in NAME.pid.
"""

import concurrent.futures
import glob
import json
import os
import re
import signal
import statistics
import sys
import time
import urllib.request

PLATFORM = sys.argv[1]
CHANGES = int(sys.argv[2])
SECONDS = float(sys.argv[3])
SINGLE_CHANGES = 20
# Limits that the run must meet; calls and bytes are per second, and the CPU
# time is in percent of a core.
LIMIT_SECONDS = 2.0
LIMIT_SECONDS_KILLED = 6.0
LIMIT_CALLS = 30.0
LIMIT_BYTES = 18000
LIMIT_CPU_PERCENT = 2.4
LIMIT_RSS_MB = 256
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_MB = os.sysconf("SC_PAGE_SIZE") / 1e6
pool = concurrent.futures.ThreadPoolExecutor(16)


class Process:
    """One instance under test."""

    def __init__(self, name):
        with open(name + ".json") as f:
            self.address = json.load(f)["address"]
        with open(name + ".pid") as f:
            self.pid = int(f.read())
        self.name = name
        self.changes = []

    def get(self, path):
        url = "http://%s:7102%s" % (self.address, path)
        with urllib.request.urlopen(url, timeout=20) as r:
            return r.read().decode()

    def usage(self):
        """Returns CPU seconds, resident MB and control bytes so far."""
        with open("/proc/%d/stat" % self.pid) as f:
            fields = f.read().rsplit(")", 1)[1].split()
        text = self.get("/metrics")
        control_bytes = sum(
            float(v)
            for v in re.findall(
                r"^\w*rpc_(?:sent|received)_bytes\S* (\d+)", text, re.M
            )
        )
        self.kinds = {
            k: float(v)
            for k, v in re.findall(
                r'^limpet_rpc_kind_bytes\{label="([^"]+)"\} (\d+)', text, re.M
            )
        }
        cpu = (int(fields[11]) + int(fields[12])) / TICKS_PER_S
        return cpu, int(fields[21]) * PAGE_MB, control_bytes

    def fetch_changes(self):
        self.changes = json.loads(self.get("/config/changes"))


def call_each(processes, method):
    """Calls a method of all processes in parallel and returns the results."""
    return list(pool.map(lambda p: getattr(p, method)(), processes))


def document(revision):
    accounts = [
        {
            "account": "account-%02d" % i,
            "keys": ["%064x" % (i + 1)],
            "limits": {"concurrent": revision % 1000 + 1 if not i else 10},
        }
        for i in range(10)
    ]
    return json.dumps({"revision": revision, "accounts": accounts}).encode()


def put(path, body):
    r = urllib.request.Request(PLATFORM + path, data=body, method="PUT")
    urllib.request.urlopen(r, timeout=10).read()


def platform_calls():
    with urllib.request.urlopen(PLATFORM + "/standin/counts") as r:
        return json.load(r)["calls"]


published = {}  # time by revision


def publish(revision):
    published[revision] = time.time()
    put("/standin/config", document(revision))


def delays(processes, revisions):
    """Returns how long each process took to apply each revision.

    Processes may skip a revision for a later one.  Also returns how many of
    these times are missing, because no such revision was applied.
    """
    out, missing = [], 0
    for p in processes:
        for revision in revisions:
            times = [
                c["at_ms"] for c in p.changes if c["revision"] >= revision
            ]
            if times:
                out.append(max(0.0, min(times) / 1e3 - published[revision]))
            else:
                missing += 1
    return out, missing


def count_non_increasing(processes):
    """Counts the processes whose revisions were not strictly increasing."""
    count = 0
    for p in processes:
        revisions = [c["revision"] for c in p.changes]
        count += revisions != sorted(set(revisions))
    return count


class UsageWindow:
    """Measures the resources that processes use, until end() is called."""

    def __init__(self, processes):
        self.processes = processes
        self.before = call_each(processes, "usage")
        self.kinds = [p.kinds for p in processes]
        self.calls = platform_calls()
        self.start = time.time()

    def end(self):
        """Returns platform calls/s and, by process, bytes/s, CPU % and MB."""
        seconds = time.time() - self.start
        calls = (platform_calls() - self.calls) / seconds
        after = call_each(self.processes, "usage")
        cpu = [
            100 * (b[0] - a[0]) / seconds for a, b in zip(self.before, after)
        ]
        control_bytes = [
            (b[2] - a[2]) / seconds for a, b in zip(self.before, after)
        ]
        rss = [b[1] for b in after]
        top = control_bytes.index(max(control_bytes))
        before = self.kinds[top]
        print(
            "most control bytes: %s:" % self.processes[top].name,
            ", ".join(
                "%s %.0f/s" % (k, (v - before.get(k, 0)) / seconds)
                for k, v in sorted(self.processes[top].kinds.items())
            ),
            file=sys.stderr,
        )
        return calls, control_bytes, cpu, rss


def report(label, processes, seconds, missing, usage):
    calls, control_bytes, cpu, rss = usage
    line = {
        "bench": "config",
        "run": label,
        "processes": len(processes),
        "seconds_p50": round(statistics.median(seconds), 3),
        "seconds_max": round(max(seconds), 3),
        "platform_calls_per_second": round(calls, 1),
        "control_bytes_per_second": round(max(control_bytes)),
        "control_bytes_per_second_mean": round(statistics.mean(control_bytes)),
        "cpu_percent": round(max(cpu), 2),
        "cpu_percent_mean": round(statistics.mean(cpu), 2),
        "rss_mb": round(max(rss), 1),
        "missing": missing,
        "went_back": count_non_increasing(processes),
    }
    print(json.dumps(line), flush=True)


def wait_for(processes, revision, seconds):
    end = time.time() + seconds
    while time.time() < end:
        call_each(processes, "fetch_changes")
        if all(
            p.changes and p.changes[-1]["revision"] >= revision
            for p in processes
        ):
            return True
        time.sleep(1)
    return False


def run_single_changes(processes):
    window = UsageWindow(processes)
    for i in range(SINGLE_CHANGES):
        publish(2 + i)
        time.sleep(2.5)
    usage = window.end()
    call_each(processes, "fetch_changes")
    seconds, missing = delays(processes, range(2, 2 + SINGLE_CHANGES))
    report("lone", processes, seconds, missing, usage)
    return (
        max(seconds) <= LIMIT_SECONDS
        and not missing
        and not count_non_increasing(processes)
        and usage[0] < LIMIT_CALLS
        and max(usage[1]) < LIMIT_BYTES
        and max(usage[2]) < LIMIT_CPU_PERCENT
        and max(usage[3]) < LIMIT_RSS_MB
    )


def run_killed_watchers(processes, revision):
    """Publishes a revision and kills the watchers of rank 0."""
    status = list(
        pool.map(lambda p: json.loads(p.get("/status"))["config"], processes)
    )
    killed = [
        p for p, s in zip(processes, status) if s["watches"] and not s["watch_rank"]
    ]
    alive = [p for p in processes if p not in killed]
    window = UsageWindow(alive)
    publish(revision)
    for p in killed:
        os.kill(p.pid, signal.SIGKILL)
    time.sleep(LIMIT_SECONDS_KILLED + 1)
    usage = window.end()
    call_each(alive, "fetch_changes")
    seconds, missing = delays(alive, [revision])
    report("%d watchers killed" % len(killed), alive, seconds, missing, usage)
    return max(seconds) <= LIMIT_SECONDS_KILLED and not missing


def run_continuous_changes(processes, first):
    """Publishes CHANGES revisions evenly over SECONDS."""
    window = UsageWindow(processes)
    start = time.time()
    for i in range(CHANGES):
        wait = start + i * SECONDS / CHANGES - time.time()
        if wait > 0:
            time.sleep(wait)
        publish(first + i)
    time.sleep(3)
    usage = window.end()
    call_each(processes, "fetch_changes")
    seconds, missing = delays(processes, range(first, first + CHANGES))
    label = "%d changes in %.0f s" % (CHANGES, SECONDS)
    report(label, processes, seconds, missing, usage)
    return (
        not missing
        and not count_non_increasing(processes)
        and usage[0] < LIMIT_CALLS
    )


def main():
    names = sorted(f[:-5] for f in glob.glob("[ae][0-9]*.json"))
    processes = [Process(n) for n in names]
    publish(1)
    if not wait_for(processes, 1, 60):
        print(
            "some processes did not apply revision 1 within 60 s",
            file=sys.stderr,
        )
        return 1
    time.sleep(5)
    ok = run_single_changes(processes)
    if CHANGES:
        ok = run_continuous_changes(processes, 100) and ok
    ok = run_killed_watchers(processes, 100 + CHANGES) and ok
    return 0 if ok else 1


sys.exit(main())
