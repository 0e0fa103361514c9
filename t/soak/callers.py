"""Callers of the soak: they ask entries, and note what came."""
import http.client
import json
import random
import time

from engine import EVENTS

DEADLINES_MS = {"gen": 6000}


class Callers:
    """Part of Soak that asks; it has its fields."""

    def caller(self, e, seed, kinds):
        r = random.Random(seed)
        connection = None
        while not self.stop:
            if connection is None:
                connection = http.client.HTTPConnection(e.ip, 8000, timeout=8)
            kind = r.choice(kinds)
            if not self.ask(e, connection, kind, r):
                connection.close()
                connection = None
                time.sleep(0.05)
            time.sleep(r.uniform(0, 0.08))

    def ask(self, e, connection, kind, r):
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
        try:
            connection.request("GET", path, headers={
                "Host": "a.example", "X-Limpetflow-Request-Id": id,
                "X-Limpetflow-Deadline-Ms": str(DEADLINES_MS.get(kind, 2000)),
                "X-Limpetflow-Model": "m",
                "Authorization": f"Bearer {key}"})
            answer = connection.getresponse()
            record["status"] = answer.status
            record["leaving"] = answer.getheader("Server-Leaving")
            record["limit"] = answer.getheader("Server-Limit")
            record["stamp"] = answer.getheader("X-Limpetflow-Response-Stamp")
            body = answer.read1(65536)
            record["began"] = bool(body)
            body += answer.read()
            record["whole"] = True
            self.answer_check(id, record, answer, body)
            return not answer.will_close
        except (OSError, http.client.HTTPException) as error:
            record["error"] = repr(error)
            return False
        finally:
            record["done"] = time.monotonic()
            record["disturbed"] = max(record["disturbed"], e.disturbed)

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
