"""An upstream whose answers end in every way that TCP and HTTP allow.

    raw_server.py ADDRESS:PORT...

The last element of the path names the form of the answer, or two forms joined
by '+': the second is used for a request that comes again. Forms of streams,
which have five events, and go on after Last-Event-Id:
    EVENTS-FRAMING[-END]
        EVENTS   "events"; "inside": the third event breaks off; "part": the
                 stream ends after the second event; "none": no event;
                 "first": the first event breaks off
        FRAMING  "chunked", "length" or "close"
        END      "open": without the last chunk, or short of the length;
                 "reset": with a reset of the connection; "hang": the first
                 such answer stays unfinished, the next ones are whole;
                 "stall": each such answer stays unfinished;
                 "late": the answer is whole and comes after 0.3 s;
                 "deadline": as "open", after comments until the deadline of
                 the request
                 "many": 6,000 events of 4 KB
Forms of plain bodies: the same with "plain" (whole), "half" or "large" (24 MB)
for EVENTS.
Further forms:
    error-STATUS-BODY  another status, with "text", "events" (in a stream's
                  type) or "none" for BODY; 503 says that it was not run
    refused-WHEN  a refusal (503, not run), which is written once more: "now",
                  at once, or "late", where the next answer is due
    again-WHEN-FRAMING  a whole answer with the request's id in its body, which is
                  written once more: "now", at once; "soon", up to 20 ms later;
                  "pieces", the same in two pieces; "late", where the next answer
                  is due; "never"
    head-open     the connection closes inside the head
    head-reset    the same with a reset
    head-none     it closes without a byte
    head-whole    a head without a body that ends with its connection
    cut-FRAMING-BYTES  a whole answer of the framing of which only so many bytes
                  are sent; "interim" for FRAMING puts two heads of status 103
                  before it, "trailer" two lines after its last chunk. Without
                  BYTES it is sent whole
    status-CODE-FRAMING  a whole answer with any text for a status; "interim" for
                  FRAMING puts it before an answer of 200
    KIND-NAME     an answer with a head or chunks that HTTP doesn't allow, or that
                  it allows and few write; see raw_heads.py
    forever-WHAT  bytes without end: "noise" (no answer), "line" (a header
                  line), "head" (header lines), "interim" (heads of status
                  100), "status" (a status line), "body", "event" (one event),
                  "comment" (comments of a stream), "chunk" (the size of a
                  chunk), "trailer" (lines after the last chunk), "slow" (a
                  byte of a header line every 0.2 s)
A name without '-' gets "plain-length". HEAD gets the head alone. For tests:
    GET /test/ended   the number of answers without end that the peer closed
    GET /test/hung    the number of answers of a form with "hang" or "stall"
    GET /test/runs    how often each request was run rather than refused
    GET /test/received  head and body of each of the first requests, as they came
    GET /test/sent    the largest number of bytes sent in one of them
"""
import functools
import json
import random
import socket
import struct
import sys
import threading
import time

import raw_heads

PIECE = 16 * 1024
COMMENT = b":\n\n"
COMMENT_PERIOD_S = 0.1
FOREVER_MAX_BYTES = 16 * 1024 * 1024 * 1024
FOREVER_MAX_S = 30
HANG_S = 10
LATE_S = 0.3
AGAIN_MAX_S = 0.02
PLAIN = b'{"whole":"%s"}' % (b"x" * 600)
LARGE = bytes(range(256)) * (24 * 1024 * 4)
MANY_EVENTS = 6000
MANY_DATA = b"x" * 4096
RECEIVED_MAX = 1000

state = {"lock": threading.Lock(), "ended": 0, "sent": 0, "hung": 0,
         "requests": set(), "runs": {}, "received": {}}

STATUS_LINES = {"200": b"200 OK", "421": b"421 Misdirected Request",
                "429": b"429 Too Many Requests",
                "500": b"500 Internal Server Error",
                "503": b"503 Service Unavailable",
                "504": b"504 Gateway Timeout"}
ERROR_TEXT = b"text of the error\n\n"


def event(number):
    return b"id: %d\ndata: event %d\n\n" % (number, number)


def stream_bytes(kind, first):
    """Returns the bytes of a stream from event `first` on."""
    if kind == "first":
        return event(first)[:9]
    if kind == "none":
        return b""
    if kind == "events":
        return b"".join(event(i) for i in range(first, 6))
    if kind == "many":
        return b"".join(b"id: %d\ndata: %s\n\n" % (i, MANY_DATA)
                        for i in range(first, MANY_EVENTS + 1))
    whole = b"".join(event(i) for i in range(first, 3))
    return whole + event(3)[:9] if kind == "inside" else whole


def plain_bytes(kind):
    if kind == "large":
        return LARGE
    return PLAIN if kind == "plain" else PLAIN[:len(PLAIN) // 2]


def head(request_id, lines, status=b"200 OK"):
    return (b"HTTP/1.1 " + status + b"\r\nX-Limpetflow-Request-Id: " +
            request_id + b"\r\nX-Limpetflow-Response-Stamp: stamp\r\n" +
            b"".join(line + b"\r\n" for line in lines) + b"\r\n")


@functools.lru_cache(maxsize=8)
def frame(framing, end, body, type_line):
    """Returns the header lines and the bytes of a body.

    Is cached so that large answers that are sent at the same time share them.
    """
    lines = [b"Content-Type: " + type_line]
    if framing == "length":
        size = len(body) + (10 if end else 0)
        return lines + [b"Content-Length: %d" % size], body
    if framing == "close":
        return lines, body
    coded = b"%x\r\n%s\r\n" % (len(body), body)
    if not end:
        coded += b"0\r\n\r\n"
    return lines + [b"Transfer-Encoding: chunked"], coded


def forever(what, request_id):
    """Returns the first bytes and the piece to repeat without end."""
    stream = [b"Content-Type: text/event-stream"]
    chunked = stream + [b"Transfer-Encoding: chunked"]
    start = head(request_id, [])[:-2]
    return {
        "noise": (b"", b"\x07noise" * (PIECE // 6)),
        "status": (b"HTTP/1.1 200 ", b"OK" * (PIECE // 2)),
        "line": (start + b"X-Long: ", b"x" * PIECE),
        "head": (start, b"X-Line: abcdefgh\r\n" * (PIECE // 18)),
        "interim": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * (PIECE // 25)),
        "slow": (start + b"X-Slow: ", b"x"),
        "body": (head(request_id, [b"Content-Type: text/plain"]),
                 b"x" * PIECE),
        "event": (head(request_id, stream), b"data: more\n" * (PIECE // 11)),
        "comment": (head(request_id, stream), b":\n" * (PIECE // 2)),
        "chunk": (head(request_id, chunked) + b"5;", b"x" * PIECE),
        "trailer": (head(request_id, chunked) + b"0\r\n",
                    b"X-Line: abcdefgh\r\n" * (PIECE // 18)),
    }[what]


def send_forever(connection, what, request_id):
    first, piece = forever(what, request_id)
    pause_s = 0.2 if what == "slow" else 0
    end = time.monotonic() + FOREVER_MAX_S
    sent, is_closed = 0, False
    connection.settimeout(FOREVER_MAX_S)
    try:
        connection.sendall(first)
        while sent < FOREVER_MAX_BYTES and time.monotonic() < end:
            connection.sendall(piece)
            sent += len(piece)
            time.sleep(pause_s)
    except TimeoutError:
        pass
    except OSError:
        is_closed = True
    with state["lock"]:
        state["ended"] += is_closed
        state["sent"] = max(state["sent"], sent)


def reset(connection):
    time.sleep(0.05)  # the peer reads what was sent before the reset
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                          struct.pack("ii", 1, 0))


def has_come(request_id):
    """Returns whether the request has come before, and notes it."""
    with state["lock"]:
        is_repeat = request_id in state["requests"]
        state["requests"].add(request_id)
    return is_repeat


def is_first_hang():
    with state["lock"]:
        state["hung"] += 1
        return state["hung"] == 1


def send_comments(connection, framing, until):
    text = COMMENT
    if framing == "chunked":
        text = b"%x\r\n%s\r\n" % (len(COMMENT), COMMENT)
    while time.monotonic() + COMMENT_PERIOD_S < until:
        time.sleep(COMMENT_PERIOD_S)
        connection.sendall(text)
    time.sleep(max(0, until - time.monotonic()))


def make_error(status, kind, request_id):
    type_line = (b"text/event-stream" if kind == "events"
                 else b"application/json")
    body = b"" if kind == "none" else ERROR_TEXT
    if kind == "events":
        body = b"id: 9\ndata: " + ERROR_TEXT
    lines = [b"Content-Type: " + type_line, b"Content-Length: %d" % len(body)]
    if status == "503":
        lines.append(b"X-Limpetflow-Not-Run: 1")
    return head(request_id, lines, STATUS_LINES[status]) + body


def cut(framing, request_id):
    """Returns the bytes of a whole answer."""
    coded = "chunked" if framing == "trailer" else framing
    if framing == "interim":
        coded = "length"
    lines, body = frame(coded, "", b'{"whole":1}', b"application/json")
    text = head(request_id, lines) + body
    if framing == "interim":
        text = (b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" * 2) + text
    if framing == "trailer":
        text = text[:-2] + b"X-One: 1\r\nX-Two: 2\r\n\r\n"
    return text


def send_again(connection, when, text):
    """Sends an answer twice. Returns what is left for where the next one is
    due."""
    if when == "now":
        connection.sendall(text + text)
        return b""
    connection.sendall(text)
    if when in ("soon", "pieces"):
        split = len(text) // 3 if when == "pieces" else len(text)
        for piece in (text[:split], text[split:]):
            time.sleep(random.uniform(0, AGAIN_MAX_S))
            connection.sendall(piece)
    return text if when == "late" else b""


def answer(connection, form, request_id, first, until):
    """Sends one answer. Returns False when the connection has to close."""
    if form.startswith("cut-"):
        framing, size = (form.split("-") + [""])[1:3]
        text = cut(framing, request_id)
        connection.sendall(text[:int(size)] if size else text)
        return False
    if form.startswith("status-"):
        code, framing = form.split("-")[1:3]
        interim = framing == "interim"
        lines, body = frame("length" if interim else framing, "", PLAIN,
                            b"application/json")
        line = b"%s Text" % code.encode()
        text = head(request_id, lines, line) + body
        if interim:
            text = (b"HTTP/1.1 " + line + b"\r\nLink: </a>\r\n\r\n" +
                    head(request_id, lines) + body)
        connection.sendall(text)
        return False
    if form.startswith(("invalid-", "odd-", "chunked-", "oddchunked-")):
        connection.sendall(raw_heads.make_answer(form, request_id))
        return False
    if form.startswith("forever-"):
        send_forever(connection, form[len("forever-"):], request_id)
        return False
    if form.startswith("head-"):
        text = head(request_id, [b"Content-Type: text/plain"])
        if form != "head-none":
            connection.sendall(text if form == "head-whole" else text[:-12])
        if form == "head-reset":
            reset(connection)
        return False
    if form.startswith("error-"):
        connection.sendall(make_error(*form.split("-")[1:], request_id))
        return True
    if "-" not in form:
        form = "plain-length"
    kind, framing, end = (form.split("-") + [""])[:3]
    if end == "hang":
        is_first = is_first_hang()
        kind, end = (kind, "open") if is_first else ("plain", "")
    if end == "late":
        time.sleep(LATE_S)
        end = ""
    if end == "stall":
        is_first_hang()
    if kind in ("plain", "half", "large"):
        lines, body = frame(framing, end, plain_bytes(kind),
                            b"application/json")
    else:
        lines, body = frame(framing, end, stream_bytes(kind, first),
                            b"text/event-stream")
    if kind == "large":
        connection.sendall(head(request_id, lines))
        connection.sendall(body)
    else:
        connection.sendall(head(request_id, lines) + body)
    if form.endswith(("-hang", "-stall")) and end:
        time.sleep(HANG_S)
    if end == "deadline":
        send_comments(connection, framing, until)
    if end == "reset":
        reset(connection)
    return framing != "close" and not end


def read_request(file):
    """Returns the method, the path and the headers, or None at the end."""
    head = file.readline()
    line = head.split()
    headers = {}
    if len(line) < 2:
        return None
    while True:
        text = file.readline()
        head += text
        text = text.strip()
        if not text:
            break
        name, _, value = text.partition(b":")
        headers[name.lower()] = value.strip()
    body = file.read(int(headers.get(b"content-length", 0)))
    key = headers.get(b"x-limpetflow-request-id", b"").decode()
    with state["lock"]:
        if len(state["received"]) < RECEIVED_MAX:
            state["received"][key] = {"head": head.decode("latin1"),
                                      "body": body.decode("latin1")}
    return line[0], line[1].decode(), headers


def serve(connection):
    file = connection.makefile("rb")
    extra = b""  # an earlier answer, which is written once more
    try:
        while True:
            request = read_request(file)
            if not request:
                break
            method, path, headers = request
            name = path.rsplit("/", 1)[-1]
            if path.startswith("/test/"):
                body = json.dumps(state[name]).encode()
                connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d"
                                   b"\r\n\r\n%s" % (len(body), body))
                continue
            forms = name.split("+")
            last = int(headers.get(b"last-event-id") or 0)
            request_id = headers.get(b"x-limpetflow-request-id", b"")
            left_ms = int(headers.get(b"x-limpetflow-deadline-ms") or 0)
            connection.sendall(extra)
            extra = b""
            if name.startswith("refused-"):
                refusal = make_error("503", "text", request_id)
                connection.sendall(refusal)
                extra = refusal if name == "refused-late" else b""
                if not extra:
                    connection.sendall(refusal)
                continue
            with state["lock"]:
                key = request_id.decode()
                state["runs"][key] = state["runs"].get(key, 0) + 1
            if method == b"HEAD":
                framing = (forms[0].split("-") + ["length"])[1]
                lines, _ = frame(framing, "", PLAIN, b"application/json")
                connection.sendall(head(request_id, lines))
                continue
            if name.startswith("again-"):
                when, framing = name.split("-")[1:]
                lines, body = frame(framing, "", b'{"request":"%s"}' %
                                    request_id, b"application/json")
                extra = send_again(connection, when,
                                   head(request_id, lines) + body)
                continue
            if not answer(connection, forms[-1 if has_come(request_id) else 0],
                          request_id, last + 1,
                          time.monotonic() + left_ms / 1000):
                break
    except OSError:
        pass
    finally:
        file.close()
        connection.close()


def listen(address):
    host, port = address.split(":")
    listener = socket.create_server((host, int(port)), backlog=128)
    while True:
        connection, _ = listener.accept()
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        threading.Thread(target=serve, args=(connection,),
                         daemon=True).start()


def main():
    for address in sys.argv[2:]:
        threading.Thread(target=listen, args=(address,), daemon=True).start()
    listen(sys.argv[1])


if __name__ == "__main__":
    main()
