#!/usr/bin/env python3
"""Drives the soak test: configuration changes and faults chosen with a seed.

Runs in the trash directory of p0005-soak.sh and reads its settings files, pid
files and versions.rows.  Checks invariants about the configuration, draining,
graceful stops and the final state; prints a row for each and exits with 1 on
a violation.
"""

import argparse
import json
import os
import random
import signal
import subprocess
import sys
import threading
import time
import urllib.request

POLL_S = 0.25
IN_FORCE_S = 6.0  # until a change is in force in all processes
DRAIN_S = 2.0  # until a draining upstream gets no new calls
CONVERGE_S = 45.0  # until all upstreams serve the final versions
MODELS = ("quotes", "appraise")


def http(method, url, body=None, timeout=3):
    request = urllib.request.Request(url, method=method, data=body)
    with urllib.request.urlopen(request, timeout=timeout) as answer:
        return answer.read()


def http_json(method, url, value=None, timeout=3):
    """Sends and returns JSON; returns None on error."""
    body = None if value is None else json.dumps(value).encode()
    try:
        return json.loads(http(method, url, body, timeout) or b"null")
    except (OSError, ValueError):
        return None


class Instance:
    def __init__(self, row):
        self.id = row["id"]
        self.role = row["role"]
        self.data_center = row["data_center"]
        self.address = row["address"]
        self.busy_until = 0.0  # no other fault before
        self.disturbed_until = 0.0  # time limits are not checked before
        with open(f"{self.id}.pid", encoding="utf-8") as file:
            self.pid = int(file.read())

    def operator_url(self, path):
        return f"http://{self.address}:7102{path}"

    def kill(self, signal_number):
        try:
            os.kill(self.pid, signal_number)
        except ProcessLookupError:
            pass

    def start(self):
        with open(f"{self.id}.err", "ab") as err:
            child = subprocess.Popen(
                [f"limpet-{self.role}", "--settings", f"{self.id}.json"],
                stdout=err, stderr=err)
        self.pid = child.pid
        with open(f"restarted-{self.id}.pid", "w", encoding="utf-8") as file:
            file.write(f"{child.pid}\n")
        return child


class Invariant:
    def __init__(self, name):
        self.name = name
        self.checked = 0
        self.violations = []

    def check(self, holds, message):
        self.checked += 1
        if not holds:
            self.violations.append(message)


class Soak:
    def __init__(self, options):
        self.options = options
        self.random = random.Random(options.seed)
        self.start = time.monotonic()
        self.versions = {m: [] for m in MODELS}
        with open("versions.rows", encoding="utf-8") as file:
            for line in file:
                model, digest, _ = line.split()
                self.versions[model].append(digest)
        with open("instances.json", encoding="utf-8") as file:
            self.instances = [Instance(r) for r in json.load(file)]
        self.published_versions = {m: self.versions[m][0] for m in MODELS}
        self.revision = 0
        self.published = []  # (time, revision)
        self.platform_fault_until = 0.0
        self.scheduled = []  # (time, function)
        self.children = []
        self.increasing = Invariant("revision never decreases")
        self.in_force = Invariant("configuration in force within 6 s")
        self.drained = Invariant("no new calls 2 s after a drain")
        self.graceful = Invariant("process exits within 15 s of SIGTERM")
        self.converged = Invariant("upstream serves the final versions")
        self.last_seen = {}  # (boot, revision) by instance
        self.lock = threading.Lock()
        self.stop = False

    def now(self):
        return time.monotonic() - self.start

    def log(self, text):
        print(f"{self.now():8.2f} {text}", file=sys.stderr, flush=True)

    def document(self):
        accounts = []
        for i, key in enumerate(self.options.keys.split()):
            accounts.append({"account": f"account-{i}", "keys": [key],
                             "share": 1})
        for i, model in enumerate(MODELS):
            accounts[i]["models"] = [{
                "name": model, "manifest": self.published_versions[model],
                "upstreams": ["agent-*"]}]
        accounts[2]["services"] = [{
            "name": "register", "upstreams": ["plain-*"],
            "operations": [{"name": "reserve", "repeatable": False,
                            "key_lifetime_s": 60}]}]
        return {"revision": self.revision, "fleet": {}, "accounts": accounts}

    def publish(self):
        self.revision += 1
        http_json("PUT", f"{self.options.platform}/standin/config",
                  self.document())
        with self.lock:
            self.published.append((self.now(), self.revision))
        self.log(f"publish revision {self.revision}")

    # Faults.  Each fault_*() schedules its own end.

    def schedule(self, seconds, function):
        self.scheduled.append((self.now() + seconds, function))

    def set_busy(self, instance, seconds):
        until = self.now() + seconds
        instance.busy_until = until + 3
        instance.disturbed_until = until + IN_FORCE_S

    def pick(self, role=None):
        """Returns an instance that has no fault, or None."""
        idle = [i for i in self.instances
                if i.busy_until < self.now() and role in (None, i.role)]
        return self.random.choice(idle) if idle else None

    def restart(self, instance):
        self.log(f"start {instance.id}")
        self.children.append(instance.start())

    def fault_kill(self):
        instance = self.pick()
        if not instance:
            return
        pause = self.random.uniform(0.2, 3)
        self.log(f"kill {instance.id}")
        instance.kill(signal.SIGKILL)
        self.set_busy(instance, pause + 5)
        self.schedule(pause, lambda: self.restart(instance))

    def fault_pause(self):
        instance = self.pick()
        if not instance:
            return
        pause = self.random.uniform(0.5, 5)
        self.log(f"suspend {instance.id} for {pause:.1f} s")
        instance.kill(signal.SIGSTOP)
        self.set_busy(instance, pause)
        self.schedule(pause, lambda: instance.kill(signal.SIGCONT))

    def fault_graceful(self):
        instance = self.pick()
        if not instance:
            return
        self.log(f"terminate {instance.id}")
        self.set_busy(instance, 20)
        pid = instance.pid
        instance.kill(signal.SIGTERM)

        def check_exit():
            try:
                done, _ = os.waitpid(pid, os.WNOHANG)
                alive = done == 0
            except ChildProcessError:
                alive = os.path.exists(f"/proc/{pid}") and "Z" not in open(
                    f"/proc/{pid}/stat", encoding="utf-8").read().split()[2]
            self.graceful.check(not alive, f"{instance.id} is still running")
            if alive:
                instance.kill(signal.SIGKILL)
            self.restart(instance)
        self.schedule(15, check_exit)

    def engine_calls(self, address):
        counts = http_json("GET", f"http://{address}:7200/standin/counts")
        return counts["calls"] if counts else None

    def fault_drain(self):
        instance = self.pick("agent")
        if not instance or instance.id.startswith("plain"):
            return
        self.log(f"drain {instance.id}")
        self.set_busy(instance, 14)
        http_json("POST", instance.operator_url("/drain"), {})
        calls_before = None

        def count_calls():
            nonlocal calls_before
            calls_before = self.engine_calls(instance.address)

        def check_calls():
            calls = self.engine_calls(instance.address)
            self.drained.check(calls is not None and calls == calls_before,
                               f"{instance.id}: {calls_before} calls after "
                               f"2 s, {calls} after 5 s")
            instance.kill(signal.SIGTERM)
        self.schedule(DRAIN_S, count_calls)
        self.schedule(DRAIN_S + 3, check_calls)
        self.schedule(DRAIN_S + 3 + 8, lambda: self.kill_and_restart(instance))

    def kill_and_restart(self, instance):
        instance.kill(signal.SIGKILL)
        self.restart(instance)

    def fault_blackhole(self):
        instance = self.pick("agent")
        if not instance:
            return
        self.log(f"blackhole connections to the upstream of {instance.id}")
        self.set_busy(instance, 1)
        url = f"http://{instance.address}:7200/standin/fault"
        http_json("POST", url,
                  {"address": instance.address, "mode": "blackhole"})
        self.schedule(4, lambda: http_json(
            "POST", url, {"address": instance.address, "mode": "ok"}))

    def fault_store(self):
        mode = self.random.choice(["corrupt", "429", "500", "stall", "short"])
        self.log(f"store fault {mode}")
        url = f"{self.options.store}/standin/fault"
        http_json("POST", url, {"mode": mode, "share": 0.3, "retry_after": 1})
        self.schedule(3, lambda: http_json("POST", url, {"mode": "ok"}))

    def fault_platform(self):
        mode = self.random.choice(["down", "hold", "half", "stale", "flap"])
        seconds = self.random.uniform(2, 6)
        self.log(f"platform fault {mode}")
        url = f"{self.options.platform}/standin/fault"
        with self.lock:
            self.platform_fault_until = self.now() + seconds + 1
        http_json("POST", url, {"config": mode})
        self.schedule(seconds, lambda: http_json("POST", url,
                                                 {"config": "ok"}))

    def fault_partition(self):
        data_center = self.random.choice(
            sorted({i.data_center for i in self.instances}))
        inside = [i for i in self.instances if i.data_center == data_center]
        outside = [i for i in self.instances if i.data_center != data_center]
        seconds = self.random.uniform(2, 6)
        self.log(f"partition {data_center} for {seconds:.1f} s")
        for i in inside:
            self.set_busy(i, seconds)
            http_json("POST", i.operator_url("/cut"),
                      sorted({o.address.rsplit(".", 1)[0] + "."
                              for o in outside}))

        def end_partition():
            for i in inside:
                http_json("POST", i.operator_url("/cut"), [])
        self.schedule(seconds, end_partition)

    def fault_crash(self):
        self.log("request that crashes its upstream, through every entry")
        body = {"prompt": f"@crash {self.random.random()}", "max_tokens": 4,
                "stream": True}
        key = "key-0"
        for _ in range(2):
            for entry in (i for i in self.instances if i.role == "entry"):
                request = urllib.request.Request(
                    f"http://{entry.address}:7100/v1/models/quotes/generate",
                    method="POST", data=json.dumps(body).encode(),
                    headers={"Authorization": f"Bearer {key}"})
                try:
                    urllib.request.urlopen(request, timeout=2).read()
                except OSError:
                    pass
                except Exception:  # a truncated stream
                    pass

    def fault_rollout(self):
        model = self.random.choice(MODELS)
        self.published_versions[model] = self.random.choice(
            self.versions[model])
        self.publish()

    def sample(self):
        while not self.stop:
            for instance in self.instances:
                self.sample_one(instance)
            time.sleep(POLL_S)

    def sample_one(self, instance):
        asked = self.now()
        status = http_json("GET", instance.operator_url("/status"), timeout=1)
        if not status or "config" not in status:
            return
        revision = status["config"].get("revision", 0)
        last_boot, last_revision = self.last_seen.get(instance.id, (None, 0))
        if last_boot == status["boot"]:
            self.increasing.check(
                revision >= last_revision,
                f"{instance.id}: revision {revision} after {last_revision}")
        self.last_seen[instance.id] = (status["boot"], revision)
        with self.lock:
            due = [r for at, r in self.published if asked - at > IN_FORCE_S]
            platform_failed = self.platform_fault_until > asked - IN_FORCE_S
        if due and not platform_failed and instance.disturbed_until < asked:
            self.in_force.check(
                revision >= due[-1],
                f"{instance.id}: revision {revision} at {asked:.1f} s, "
                f"expected {due[-1]}")

    def run(self):
        faults = [self.fault_kill, self.fault_pause, self.fault_graceful,
                  self.fault_drain, self.fault_blackhole, self.fault_store,
                  self.fault_platform, self.fault_partition, self.fault_crash,
                  self.fault_rollout, self.fault_rollout]
        sampler = threading.Thread(target=self.sample)
        sampler.start()
        next_fault = 1.0
        while self.now() < self.options.seconds:
            time.sleep(0.05)
            self.run_scheduled(self.now())
            if self.now() >= next_fault:
                self.random.choice(faults)()
                next_fault = self.now() + self.random.uniform(0.5, 2.5)
        while self.scheduled:
            time.sleep(0.1)
            self.run_scheduled(self.now())
        self.wait_for_convergence()
        self.stop = True
        sampler.join()

    def run_scheduled(self, now):
        due = [s for s in self.scheduled if s[0] <= now]
        self.scheduled = [s for s in self.scheduled if s[0] > now]
        for _, function in due:
            function()
        for child in self.children:
            child.poll()

    def find_outdated(self):
        """Returns the model agents that don't serve the published versions."""
        outdated = []
        for i in self.instances:
            if i.role != "agent" or i.id.startswith("plain"):
                continue
            status = http_json("GET", i.operator_url("/status"),
                               timeout=2) or {}
            rows = status.get("weights", {}).get("models", [])
            serving = {r["model"]: r["version"] for r in rows
                       if r["state"] == "serving"}
            if any(serving.get(m) != v
                   for m, v in self.published_versions.items()):
                outdated.append(i.id)
        return outdated

    def wait_for_convergence(self):
        deadline = self.now() + CONVERGE_S
        outdated = self.find_outdated()
        while outdated and self.now() < deadline:
            time.sleep(0.5)
            outdated = self.find_outdated()
        self.log(f"end of wait, {len(outdated)} agents outdated")
        for i in self.instances:
            if i.id in outdated:
                status = http_json("GET", i.operator_url("/status")) or {}
                engine = http_json("GET", f"http://{i.address}:7200/running")
                self.log(json.dumps([i.id, status.get("weights"), engine]))
        for i in self.instances:
            if i.role == "agent" and not i.id.startswith("plain"):
                self.converged.check(
                    i.id not in outdated,
                    f"{i.id} does not serve the published versions")

    def report(self):
        """Prints the invariants and returns the number of violated ones."""
        failed = 0
        for i in (self.increasing, self.in_force, self.drained, self.graceful,
                  self.converged):
            print(f"{i.name}: {i.checked} checked, "
                  f"{len(i.violations)} violations")
            for message in i.violations[:5]:
                print(f"    {message}")
            failed += bool(i.violations)
        return failed


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seconds", type=float, default=60)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--platform", required=True)
    parser.add_argument("--store", required=True)
    parser.add_argument("--keys", required=True)
    parser.add_argument("--publish-only", action="store_true")
    soak = Soak(parser.parse_args())
    soak.publish()
    if soak.options.publish_only:
        return 0
    soak.run()
    return 1 if soak.report() else 0


if __name__ == "__main__":
    sys.exit(main())
