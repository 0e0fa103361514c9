"""A server of a plain service, as PROTOCOL.md has it: it checks whom a request is
for, runs it, and keeps what it ran."""
import threading

from deployment import Handler, serve


class PlainHandler(Handler):
    def handle_request(self):
        s = self.server.owner
        body = self.read_body()
        if self.path == "/healthz":
            return self.answer(200, {}, [("X-Limpetflow-Instance-Id", s.id)])
        request = self.headers.get("X-Limpetflow-Request-Id")
        common = [("X-Limpetflow-Instance-Id", s.id)]
        if not request:
            return self.answer(400, {}, common + [("X-Limpetflow-Not-Run",
                                                   "1")])
        common.append(("X-Limpetflow-Request-Id", request))
        if self.headers.get("X-Limpetflow-Expect-Instance", s.id) != s.id:
            return self.answer(421, {}, common + [("X-Limpetflow-Not-Run",
                                                   "1")])
        run = {"id": request, "method": self.command, "target": self.path,
               "headers": [(k, v) for k, v in self.headers.items()],
               "body": body}
        with s.lock:
            s.runs.append(run)
        return self.answer(200, s.make_body(run), common + [
            ("X-Limpetflow-Response-Stamp", "stamp." + s.id)])

    do_GET = do_POST = do_PUT = do_DELETE = handle_request


class PlainServer:
    def __init__(self, address, instance, make_body=lambda run: b"done"):
        self.id, self.make_body = instance, make_body
        self.lock, self.runs = threading.Lock(), []
        serve(address, PlainHandler, owner=self)

    def find_run(self, request):
        with self.lock:
            return next((r for r in self.runs if r["id"] == request), None)


def header_of(run, name):
    """The values of a header of a request that ran."""
    return [v for k, v in run["headers"] if k.lower() == name.lower()]
