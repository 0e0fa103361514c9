"""Measures how configuration spreads; see p0003-config.sh.

Run in the folder of the bench: NAME.json are settings, NAME.pid process ids.
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
LONE_CHANGES = 20
STATED_SECONDS = 2.0
STATED_SECONDS_KILLED = 6.0
STATED_CALLS = 30.0
STATED_BYTES = 18000
STATED_CPU = 2.4
STATED_RSS_MB = 256
TICKS = os.sysconf("SC_CLK_TCK")
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
        """Processor seconds, resident MB and control bytes so far."""
        with open("/proc/%d/stat" % self.pid) as f:
            fields = f.read().rsplit(")", 1)[1].split()
        text = self.get("/metrics")
        moved = sum(
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
        cpu = (int(fields[11]) + int(fields[12])) / TICKS
        return cpu, int(fields[21]) * PAGE_MB, moved

    def fetch_changes(self):
        self.changes = json.loads(self.get("/config/changes"))


def each(processes, method):
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


published = {}


def publish(revision):
    published[revision] = time.time()
    put("/standin/config", document(revision))


def delays(processes, revisions):
    """Seconds until each process had each revision or a later one."""
    out, missing = [], 0
    for p in processes:
        for revision in revisions:
            at = [c["at_ms"] for c in p.changes if c["revision"] >= revision]
            if at:
                out.append(max(0.0, min(at) / 1e3 - published[revision]))
            else:
                missing += 1
    return out, missing


def went_back(processes):
    """Processes whose revisions in force did not rise."""
    bad = 0
    for p in processes:
        seen = [c["revision"] for c in p.changes]
        bad += seen != sorted(set(seen))
    return bad


class Window:
    """What the processes use from its making to its end."""

    def __init__(self, processes):
        self.processes = processes
        self.before = each(processes, "usage")
        self.kinds = [p.kinds for p in processes]
        self.calls = platform_calls()
        self.began = time.time()

    def end(self):
        took = time.time() - self.began
        calls = (platform_calls() - self.calls) / took
        after = each(self.processes, "usage")
        cpu = [100 * (b[0] - a[0]) / took for a, b in zip(self.before, after)]
        moved = [(b[2] - a[2]) / took for a, b in zip(self.before, after)]
        rss = [b[1] for b in after]
        top = moved.index(max(moved))
        then = self.kinds[top]
        print(
            "most bytes at %s:" % self.processes[top].name,
            ", ".join(
                "%s %.0f/s" % (k, (v - then.get(k, 0)) / took)
                for k, v in sorted(self.processes[top].kinds.items())
            ),
            file=sys.stderr,
        )
        return calls, moved, cpu, rss


def report(label, processes, took, missing, window):
    calls, moved, cpu, rss = window
    line = {
        "bench": "config",
        "run": label,
        "processes": len(processes),
        "seconds_p50": round(statistics.median(took), 3),
        "seconds_max": round(max(took), 3),
        "platform_calls_per_second": round(calls, 1),
        "control_bytes_per_second": round(max(moved)),
        "control_bytes_per_second_mean": round(statistics.mean(moved)),
        "cpu_percent": round(max(cpu), 2),
        "cpu_percent_mean": round(statistics.mean(cpu), 2),
        "rss_mb": round(max(rss), 1),
        "missing": missing,
        "went_back": went_back(processes),
    }
    print(json.dumps(line), flush=True)


def wait_for(processes, revision, seconds):
    end = time.time() + seconds
    while time.time() < end:
        each(processes, "fetch_changes")
        if all(
            p.changes and p.changes[-1]["revision"] >= revision
            for p in processes
        ):
            return True
        time.sleep(1)
    return False


def lone(processes):
    window = Window(processes)
    for i in range(LONE_CHANGES):
        publish(2 + i)
        time.sleep(2.5)
    used = window.end()
    each(processes, "fetch_changes")
    took, missing = delays(processes, range(2, 2 + LONE_CHANGES))
    report("lone", processes, took, missing, used)
    return (
        max(took) <= STATED_SECONDS
        and not missing
        and not went_back(processes)
        and used[0] < STATED_CALLS
        and max(used[1]) < STATED_BYTES
        and max(used[2]) < STATED_CPU
        and max(used[3]) < STATED_RSS_MB
    )


def killed(processes, revision):
    status = list(
        pool.map(lambda p: json.loads(p.get("/status"))["config"], processes)
    )
    dead = [
        p for p, s in zip(processes, status) if s["watches"] and not s["watch_rank"]
    ]
    left = [p for p in processes if p not in dead]
    window = Window(left)
    publish(revision)
    for p in dead:
        os.kill(p.pid, signal.SIGKILL)
    time.sleep(STATED_SECONDS_KILLED + 1)
    used = window.end()
    each(left, "fetch_changes")
    took, missing = delays(left, [revision])
    report("%d watchers killed" % len(dead), left, took, missing, used)
    return left, max(took) <= STATED_SECONDS_KILLED and not missing


def spread_out(processes, first):
    window = Window(processes)
    began = time.time()
    for i in range(CHANGES):
        wait = began + i * SECONDS / CHANGES - time.time()
        if wait > 0:
            time.sleep(wait)
        publish(first + i)
    time.sleep(3)
    used = window.end()
    each(processes, "fetch_changes")
    took, missing = delays(processes, range(first, first + CHANGES))
    label = "%d changes in %.0f s" % (CHANGES, SECONDS)
    report(label, processes, took, missing, used)
    return not missing and not went_back(processes) and used[0] < STATED_CALLS


def main():
    names = sorted(f[:-5] for f in glob.glob("[ae][0-9]*.json"))
    processes = [Process(n) for n in names]
    publish(1)
    if not wait_for(processes, 1, 60):
        print("not every process has the first revision", file=sys.stderr)
        return 1
    time.sleep(5)
    ok = lone(processes)
    if CHANGES:
        ok = spread_out(processes, 100) and ok
    left, fine = killed(processes, 100 + CHANGES)
    return 0 if ok and fine else 1


sys.exit(main())
