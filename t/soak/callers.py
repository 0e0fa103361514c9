"""Callers of the soak: they ask entries, and note what came."""
import json
import random
import time

from engine import EVENTS
from strict_reader import StrictReader, connect, make_request

DEADLINES_MS = {"gen": 6000}
SILENT_S = 8  # of a connection
CLOSE_S = 2  # after the last answer of a connection, until it is closed


class Callers:
    """Part of Soak that asks; it has its fields."""

    def caller(self, e, seed, kinds):
        r = random.Random(seed)
        reader = None
        while not self.stop:
            kind = r.choice(kinds)
            reader = self.ask(e, reader, kind, r)
            if reader is None:
                time.sleep(0.05)
            time.sleep(r.uniform(0, 0.08))
        self.close(reader)

    def close(self, reader):
        if reader:
            self.rest_check(reader.read_rest())
            reader.connection.close()

    def rest_check(self, rest):
        self.check("nothing follows the last answer", not rest,
                   f"{rest[:200]}")

    def ask(self, e, reader, kind, r):
        """Asks on a connection, or on a new one.  Returns its reader, or None
        when it has ended."""
        with self.lock:
            self.number += 1
            id = f"r{self.number}"
        revoked = [k for k in list(self.revoked)]
        key = r.choice(revoked) if kind == "key" and revoked else "k0"
        version = self.version
        path = {"probe": f"/n{version}/x", "key": "/read/x"}.get(
            kind, f"/{kind}/x")
        record = {"entry": e.name, "kind": kind, "key": key, "path": path,
                  "version": version, "incarnation": e.incarnation,
                  "disturbed": e.disturbed, "term": e.stopping,
                  "sent": time.monotonic(), "status": 0, "error": "",
                  "began": False, "whole": False}
        self.records[id] = record
        is_kept = reader is not None
        try:
            if reader is None:
                reader = StrictReader(connect(f"{e.ip}:8000", SILENT_S))
            self.rest_check(reader.read_rest())
            reader.connection.settimeout(SILENT_S)
            reader.connection.sendall(make_request("GET", path, [
                ("Host", "a.example"), ("X-Limpetflow-Request-Id", id),
                ("X-Limpetflow-Deadline-Ms",
                 str(DEADLINES_MS.get(kind, 2000))),
                ("X-Limpetflow-Model", "m"),
                ("Authorization", f"Bearer {key}")]))
            answer = reader.read()
            self.note(id, record, answer)
            if is_kept:
                calm = e.disturbed < record["sent"] and not e.stopping
                self.check("kept connections take requests",
                           answer.end != "none" or not calm, id)
            if answer.end == "whole":
                if not answer.will_close():
                    return reader
                self.end_check(e, id, record, reader)
        except OSError as error:
            record["error"] = repr(error)
        finally:
            record.setdefault("done", time.monotonic())
            record["disturbed"] = max(record["disturbed"], e.disturbed)
        if reader:
            reader.connection.close()
        return None

    def note(self, id, record, answer):
        record["done"] = time.monotonic()
        record["status"] = answer.status
        record["leaving"] = answer.value("Server-Leaving")
        record["limit"] = answer.value("Server-Limit")
        record["stamp"] = answer.value("X-Limpetflow-Response-Stamp")
        record["began"] = bool(answer.body)
        record["whole"] = answer.end == "whole"
        if answer.end != "none":
            self.check("heads are strict HTTP", not answer.faults,
                       f"{id} {record['kind']} from {record['entry']}: "
                       f"{answer.faults} {answer.raw_head}")
        if record["whole"]:
            self.answer_check(id, record, answer, answer.body)
        else:
            record["error"] = answer.end

    def end_check(self, e, id, record, reader):
        """The connection ends after an answer that says so."""
        end, rest = reader.read_end(CLOSE_S)
        self.rest_check(rest)
        disturbed = self.o.no_bounds or e.disturbed > record["sent"]
        self.check("a last answer is followed by the close",
                   disturbed or end != "open", id)

    def answer_check(self, id, record, answer, body):
        if answer.status != 200:
            return
        if record["kind"] in ("tell", "gen"):
            ids = [line[4:] for line in body.decode().split("\n")
                   if line.startswith("id: ")]
            self.check("whole streams", ids == [str(i) for i in
                       range(1, EVENTS + 1)], f"{id}: events {ids}")
            return
        try:
            got = dict(json.loads(body)["headers"])
        except (ValueError, KeyError):
            got = {}
        self.check("answers belong to their request",
                   got.get("X-Limpetflow-Request-Id") == id, id)
        self.check("the key stays here", "Authorization" not in got, id)
