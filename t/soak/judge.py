"""Judges the promises of a run, from what callers and stand-ins noted."""
from callers import DEADLINES_MS
from engine import AT_DEADLINE

IN_FORCE_S = 2.0  # a configuration, after the store has it
DRAIN_S = 2.0  # a draining upstream gets nothing later than that
BACK_S = 0.25  # a request sent so long after a newer one was seen in force
RELEASE_S = 3.5  # no request begins on an older release later than that
LAST_MS = 20  # of its time, in which an entry begins nothing new
CUT_S = 0.3  # a cut, until its end has reached the caller
LIMIT_STABLE_S = 3.0  # from which a limit counts, and an entry after a fault
LIMIT_WINDOW_S = 4.0
NOT_RUN = (408, 421, 429, 503)


class Judge:
    """Part of Soak that judges; it has its fields."""

    def check(self, promise, holds, what):
        with self.lock:
            self.checked[promise] = self.checked.get(promise, 0) + 1
            if not holds:
                self.broken.append((promise, what))

    def judge(self):
        runs = {}
        for name, server in self.servers.items():
            for at, id in server.runs:
                runs.setdefault(id, []).append((at, name))
        for name, engine in self.engines.items():
            for _, id, _, came in engine.begun:
                runs.setdefault(id, []).append((came, name))
        for id, rec in self.records.items():
            ran = runs.get(id, [])
            if rec["kind"] == "once":
                self.check("at most once", len(ran) <= 1, f"{id}: {ran}")
            if rec["status"] in NOT_RUN:
                self.check("not run is true", not ran, f"{id}: {ran}")
            if not self.o.no_bounds:
                self.judge_bounds(id, rec, ran)
        self.judge_answers()
        self.judge_versions()
        for name, server in self.servers.items():
            self.judge_leaving(name, server)
            if not self.o.no_bounds:
                self.judge_pauses(name, server)
        if not self.o.no_bounds:
            self.judge_releases()
            self.judge_limits()

    def judge_answers(self):
        """An answer that began is whole, or its time is over, unless something
        other than its entry ended it."""
        ends = {}  # of a request: (when, upstream, how)
        for name, server in self.servers.items():
            for at, id, how in server.ends:
                ends.setdefault(id, []).append((at, name, how))
        resets = {}  # of a request: the last one
        for name, relay in self.relays.items():
            for at, id in relay.resets:
                resets[id] = max(resets.get(id, (0, "")), (at, name))
        for id, rec in self.records.items():
            if rec["status"] != 200 or not rec["began"]:
                continue
            mine = [] if rec["whole"] else sorted(ends.get(id, []))
            why = not rec["whole"] and self.excuse(rec, mine, resets.get(id))
            if why:
                self.excused[why] = self.excused.get(why, 0) + 1
            sent = rec["sent"]
            self.check("answers that have begun are whole",
                       rec["whole"] or why,
                       f"{id} {rec['kind']} from {rec['entry']}, broken off "
                       f"{rec['done'] - sent:.3f} s after it was sent; runs: " +
                       ", ".join(f"{name} {how} at {at - sent:.3f} s"
                                 for at, name, how in mine))

    def excuse(self, rec, ends, reset):
        """Returns what broke an answer off that its entry did not, or None."""
        sent, done = rec["sent"], rec["done"]
        time_ms = DEADLINES_MS.get(rec["kind"], 2000) - LAST_MS
        if done - sent > time_ms / 1000:
            return "its time was over"
        for at, incarnation, why in self.by_name[rec["entry"]].ends:
            if incarnation == rec["incarnation"] and at <= done + CUT_S:
                return "its entry was " + why
        if not ends:
            return None
        last, upstream, how = ends[-1]
        if how == AT_DEADLINE:
            return "ended by its upstream at its deadline"
        if reset and last - CUT_S < reset[0] <= done:
            return "cut by a fault" if reset[1] == upstream else \
                "cut by a fault at the upstream that was to go on with it"
        return None

    def judge_bounds(self, id, rec, ran):
        sent = rec["sent"]
        calm = max(rec["disturbed"], self.store_disturbed) < sent
        if rec["key"] in self.revoked and calm:
            gone = sent - self.revoked[rec["key"]] > IN_FORCE_S
            self.check("revoked keys are refused",
                       not gone or rec["status"] != 200, id)
        for name, at, until in self.drains:
            if not calm or sent < at + DRAIN_S or sent > until:
                continue
            # A later attempt may come when it is ready again.
            early = [t for t, u in ran if u == name and t <= until]
            self.check("nothing new while draining", not early,
                       f"{id} sent {sent - at:.3f} s after {name}'s draining "
                       f"began, came {until - min(early or [0]):.3f} s before "
                       "its end")
        if rec["term"] and calm and ran and not rec["status"]:
            self.check("a stop answers what it took",
                       sent > rec["term"] + CALM_S, f"{id} {rec['error']}")

    def arrivals_from(self, server, entry):
        """The requests of an entry that reached an upstream."""
        return [(t, self.records[id]) for t, id in server.arrivals
                if self.records[id]["entry"] == entry.name]

    def judge_leaving(self, name, server):
        """From an entry that passed on an answer which announced the end,
        nothing reaches that process any more."""
        for e in self.processes:
            told = [rec for rec in self.records.values()
                    if rec["entry"] == e.name and rec.get("leaving") == "1"
                    and rec["stamp"] in (name, "stamp-" + name)]
            arrivals = self.arrivals_from(server, e) if told else []
            for rec in told:
                since, ended = rec["done"], [
                    t for t in server.restarts + e.freezes
                    if t > rec["sent"]]
                until = min(ended, default=float("inf"))
                late = [t - since for t, other in arrivals
                        if other["incarnation"] == rec["incarnation"]
                        and other["sent"] > since + DRAIN_S and t < until]
                self.check("nothing for those that leave", not late,
                           f"{e.name} {name} {late[:3]} s after its answer")

    def judge_pauses(self, name, server):
        """At most two requests of an entry reach an upstream in the pause that
        it asked this entry for, from half a second on."""
        for at, id, notice in server.turned_away:
            try:
                pause_s = float(notice["headers"][0][1])
            except ValueError:
                continue
            rec = self.records[id]
            e = self.by_name[rec["entry"]]
            if any(at < t < at + pause_s for t in
                   server.restarts + e.freezes + [
                       d[0] for d in e.disturbances]):
                continue
            late = [t - at for t, other in self.arrivals_from(server, e)
                    if at + 0.5 < t < at + pause_s
                    and other["incarnation"] == rec["incarnation"]]
            self.check("pauses are kept", len(late) <= 2,
                       f"{e.name} {name} asked for {pause_s} s: {late[:5]}")

    def judge_limits(self):
        """From LIMIT_STABLE_S after an upstream first named a limit, it gets in
        any LIMIT_WINDOW_S no more than the rule allows from the entries that
        passed an answer with it on half a second before."""
        for name, at, until, limit in self.limits:
            counted = sorted(
                t for e in self.processes
                for t in self.arrivals_after_limit(name, e, at, until))
            allowed = 1.5 * LIMIT_WINDOW_S * limit + 5
            for i, first in enumerate(counted):
                if first < at + LIMIT_STABLE_S:
                    continue
                window = [t for t in counted[i:]
                          if t < first + LIMIT_WINDOW_S]
                self.check("limits are kept", len(window) <= allowed,
                           f"{name} takes {limit} a second, got "
                           f"{len(window)} in {LIMIT_WINDOW_S} s")

    def arrivals_after_limit(self, name, e, at, until):
        """When requests of an entry came that had been told, but for what it
        sent around its own faults."""
        server = self.servers[name]
        told = min((rec["done"] for rec in self.records.values()
                    if rec["entry"] == e.name and rec.get("limit")
                    and rec["stamp"] in (name, "stamp-" + name)
                    and rec["sent"] >= at), default=None)
        if told is None or any(at < t < until for t in server.restarts):
            return []
        faults = [(f, f + LIMIT_STABLE_S) for f in e.freezes] + e.disturbances
        return [t for t, rec in self.arrivals_from(server, e)
                if max(told + 0.5, at) <= t < until
                and not any(a <= t <= b + LIMIT_STABLE_S
                            for a, b in faults)]

    def judge_versions(self):
        """Within one incarnation no older configuration comes back."""
        seen = {}
        probes = [(rec["sent"], id, rec) for id, rec in self.records.items()
                  if rec["kind"] == "probe" and rec["status"] in (200, 404)]
        for sent, id, rec in sorted(probes, key=lambda p: p[0]):
            key = (rec["entry"], rec["incarnation"])
            known, since = seen.get(key, (0, 0))
            if rec["status"] == 200 and rec["version"] > known:
                seen[key] = (rec["version"], rec["done"])
            if rec["status"] == 404 and sent > since + BACK_S:
                self.check("configuration never goes back",
                           rec["version"] > known, id)

    def judge_releases(self):
        """What begins on an older release does so before its limit."""
        for name, engine in self.engines.items():
            for at, id, release, _ in engine.begun:
                newer = [t for r, t in self.declared if r > release and t < at]
                if not newer:
                    continue
                first, rec = min(newer), self.records[id]
                faults = self.by_name[rec["entry"]].disturbances + \
                    self.store_disturbances + \
                    [s[1:] for s in self.silences if s[0] == name]
                if any(a < at and b > first for a, b in faults):
                    continue
                late = at - first - RELEASE_S
                self.check("releases end at their limit", late <= 0,
                           f"{id} from {rec['entry']} sent "
                           f"{rec['sent'] - first:.2f} s after it on {name}, "
                           f"release {release}: {late:.3f} s late")
