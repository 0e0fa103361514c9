"""Sends requests as raw bytes to an entry, each followed by another request.

    invalid-requests.py ENTRY UPSTREAM GROUP...

UPSTREAM is a raw_server.py. Each form of the groups is sent on a connection of
its own, with a plain request behind it, and in group "pipelined" one before it.
Prints a line for each: its name, the statuses of the answers, "closed" if the
connection was closed after the last one, which requests the upstream ran
("before", "it" with its body, "inner" for a request inside the body, "next", or
"none"), and the faults of the answers if there are any.
"""
import json
import sys
import time
import urllib.request

from strict_reader import StrictReader, connect

PATH = b"/plain/plain-length"
LINE = PATH + b" HTTP/1.1\r\n"
HOST = b"Host: a.example\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"
BODY = b"3\r\nabc\r\n0\r\n\r\n"
ID_LINE = b"X-Limpetflow-Request-Id: %s-%03d\r\n"
INNER = b"GET " + LINE + HOST + b"@INNER@\r\n"
INNER_SIZE = len(INNER.replace(b"@INNER@", ID_LINE % (b"inner", 0)))
INNER_BODY = b"%x\r\n%s\r\n0\r\n\r\n" % (INNER_SIZE, INNER)
WORDS = ("before", "it", "inner", "next")
IDLE_S = 0.2
WAIT_S = 4


def get(lines, first=b"GET " + LINE, host=HOST):
    return first + host + b"@IT@" + lines + b"\r\n"


def post(lines, body):
    return b"POST " + LINE + HOST + b"@IT@" + lines + b"\r\n" + body


def first(line):
    return get(b"", first=line + b"\r\n")


def chunks(body):
    return post(CHUNKED, body)


def trailer(lines):
    return chunks(b"3\r\nabc\r\n0\r\n" + lines)


GROUPS = {
    "proper": {
        "plain": get(b""),
        "lf": get(b"").replace(b"\r\n", b"\n"),
        "empty-line-first": b"\r\n" + get(b""),
        "bytewise": get(b"X-One: 1\r\nX-Empty:\r\n"),
        "large": get(b"".join(b"X-%d: %s\r\n" % (i, b"v" * 190)
                              for i in range(40))),
        "large-lf": get(b"".join(b"X-%d: %s\r\n" % (i, b"v" * 190)
                                 for i in range(40))).replace(b"\r\n", b"\n"),
        "case": get(b"").replace(b"Host", b"hOST"),
        "blanks": get(b"X-One: \t 1 \t \r\n"),
        "no-blank": get(b"X-One:1\r\n"),
        "empty-value": get(b"X-One:\r\nX-Two: \r\n"),
        "odd-name": get(b"!#$%&'*+-.^_`|~09az: 1\r\n"),
        "high-bytes": get(b"X-One: \xc3\xa9\xff\r\n"),
        "colons": get(b"X-One: a:b: c\r\n"),
        "cookie": get(b"Cookie: a=b; c=\"d e\"\r\n"),
        "repeated": get(b"X-One: 1\r\nX-One: 2\r\n"),
        "query": first(b"GET " + PATH + b"?a=%41&b&=c+d%00 HTTP/1.1"),
        "version-1.0": first(b"GET " + PATH + b" HTTP/1.0"),
        "version-1.2": first(b"GET " + PATH + b" HTTP/1.2"),
        "length": post(b"Content-Length: 3\r\n", b"abc"),
        "length-zero": post(b"Content-Length: 0\r\n", b""),
        "length-zeros": post(b"Content-Length: 003\r\n", b"abc"),
        "expect": post(b"Content-Length: 3\r\nExpect: 100-continue\r\n",
                       b"abc"),
        "chunks": chunks(BODY),
        "chunks-case": post(b"TRANSFER-encoding:Chunked\r\n", BODY),
        "chunk-extension": chunks(b"3;a=b\r\nabc\r\n0\r\n\r\n"),
        "chunk-zeros": chunks(b"0003\r\nabc\r\n000\r\n\r\n"),
    },
    "trailers": {
        "trailer": trailer(b"X-One: 1\r\n\r\n"),
        "trailer-length": trailer(b"Content-Length: 9\r\n\r\n"),
        "trailer-fold": trailer(b"X-One: 1\r\n two\r\n\r\n"),
        "trailer-empty": trailer(b"X-One: 1\r\n: 1\r\n" + INNER),
        "trailer-nul": trailer(b"X-One: 1\r\n\0: 1\r\n" + INNER),
        "trailer-no-route": trailer(b"X-One: 1\r\n: 1\r\n" + INNER).replace(
            PATH, b"/absent/", 1),
    },
    "trailer-first": {
        "trailer-first-empty": trailer(b": 1\r\n" + INNER),
        "trailer-first-nul": trailer(b"\0: 1\r\n" + INNER),
    },
    "values": {
        "host-blank": get(b"", host=b"Host: a.example \t \r\n"),
        "hop-blank": get(b"Connection: x-one \r\nX-One: 1\r\n"),
    },
    "absolute": {
        "absolute": first(b"GET http://a.example" + PATH + b" HTTP/1.1"),
    },
    "framing": {
        "coding-twice": post(CHUNKED * 2, BODY),
        "coding-list": post(b"Transfer-Encoding: chunked, chunked\r\n", BODY),
        "coding-gzip": post(b"Transfer-Encoding: gzip, chunked\r\n", BODY),
        "coding-identity": post(b"Transfer-Encoding: identity\r\n", b""),
        "coding-empty": post(b"Transfer-Encoding:\r\n", BODY),
        "coding-inner": post(b"Transfer-Encoding: xchunked\r\n", INNER_BODY),
        "coding-length": post(CHUNKED + b"Content-Length: 3\r\n", BODY),
        "length-coding": post(b"Content-Length: 3\r\n" + CHUNKED, BODY),
        "coding-1.0": chunks(BODY).replace(b"HTTP/1.1", b"HTTP/1.0"),
        "lengths": post(b"Content-Length: 3\r\nContent-Length: 5\r\n",
                        b"abcde"),
        "lengths-down": post(b"Content-Length: 5\r\nContent-Length: 3\r\n",
                             b"abcde"),
        "lengths-inner": post(b"Content-Length: 0\r\nContent-Length: %d\r\n"
                              % (len(INNER) + 16), INNER),
    },
    "lines": {
        "fold": get(b"X-One: 1\r\n two\r\n"),
        "fold-tab": get(b"X-One: 1\r\n\ttwo\r\n"),
        "fold-twice": get(b"X-One: 1\r\n two\r\n three\r\n"),
        "fold-last": get(b"X-One: 1\r\n \r\n"),
        "fold-first": get(b"", host=b" X-One: 1\r\n" + HOST),
        "fold-coding": post(b"Transfer-Encoding:\r\n chunked\r\n", BODY),
        "fold-inner": post(b"Transfer-Encoding:\r\n chunked\r\n", INNER_BODY),
        "cr": get(b"X-One: 1\rX-Two: 2\r\n"),
        "cr-coding": post(b"X-One: 1\rTransfer-Encoding: chunked\r\n", BODY),
        "cr-end": get(b"X-One: 1\r\r\n"),
        "cr-name": get(b"X-One\r: 1\r\n"),
        "cr-first": get(b"", host=b"\rX-One: 1\r\n" + HOST),
        "nul-value": get(b"X-One: 1\0two\r\n"),
        "nul-last": get(b"X-One: 1\0two\r\n"),
        "nul-name": get(b"X\0One: 1\r\nX-Two: 2\r\n"),
        "nul-first": get(b"X-One: 1\r\n\0X-Two: 2\r\nX-Three: 3\r\n"),
        "blank-name": get(b"X-One : 1\r\n"),
        "blank-coding": post(b"Transfer-Encoding : chunked\r\n", BODY),
        "blank-inner": post(b"Transfer-Encoding : chunked\r\n", INNER_BODY),
        "blank-in-name": get(b"X One: 1\r\n"),
        "empty-name": get(b": 1\r\nX-Two: 2\r\n"),
        "empty-name-inner": post(b": 1\r\nContent-Length: %d\r\n"
                                 % (len(INNER) + 16), INNER),
        "no-colon": get(b"X-One\r\n"),
        "bracket-name": get(b"X(One): 1\r\n"),
        "high-name": get(b"X-\xe9: 1\r\n"),
    },
    "first-line": {
        "hosts": get(b"Host: b.example\r\n"),
        "hosts-equal": get(HOST),
        "host-list": get(b"", host=b"Host: a.example, b.example\r\n"),
        "no-host": get(b"", host=b""),
        "target-blank": first(b"GET /plain/plain length HTTP/1.1"),
        "target-blanks": first(b"GET  " + PATH + b"  HTTP/1.1"),
        "target-cr": first(b"GET /plain/plain\rlength HTTP/1.1"),
        "target-tab": first(b"GET /plain/plain\tlength HTTP/1.1"),
        "target-nul": first(b"GET " + PATH + b"\0 HTTP/1.1"),
        "target-none": first(b"GET HTTP/1.1"),
        "method-cr": first(b"G\rET " + PATH + b" HTTP/1.1"),
        "method-bracket": first(b"G(ET " + PATH + b" HTTP/1.1"),
        "method-nul": first(b"GET\0 " + PATH + b" HTTP/1.1"),
        "method-none": first(b" " + PATH + b" HTTP/1.1"),
        "tabs": first(b"GET\t" + PATH + b"\tHTTP/1.1"),
        "version-2": first(b"GET " + PATH + b" HTTP/2.0"),
        "version-none": first(b"GET " + PATH),
        "version-case": first(b"GET " + PATH + b" http/1.1"),
        "version-long": first(b"GET " + PATH + b" HTTP/1.10"),
        "version-short": first(b"GET " + PATH + b" HTTP/1."),
        "version-word": first(b"GET " + PATH + b" HTTP/1.1x"),
        "version-blank": first(b"GET " + PATH + b" HTTP/1.1 "),
        "version-cr": first(b"GET " + PATH + b" HTTP/1.1\r"),
    },
    "chunks": {
        "chunk-0x": chunks(b"0x3\r\nabc\r\n0\r\n\r\n"),
        "chunk-plus": chunks(b"+3\r\nabc\r\n0\r\n\r\n"),
        "chunk-minus": chunks(b"-3\r\nabc\r\n0\r\n\r\n"),
        "chunk-two": chunks(b"0 3\r\nabc\r\n0\r\n\r\n"),
        "chunk-empty": chunks(b"\r\nabc\r\n0\r\n\r\n"),
        "chunk-huge": chunks(b"fffffffffffffffffffff3\r\nabc\r\n0\r\n\r\n"),
        "chunk-wraps": chunks(b"10000000000000003\r\nabc\r\n0\r\n\r\n"),
        "chunk-long": chunks(b"3\r\nabcd\r\n0\r\n\r\n"),
        "chunk-no-end": chunks(b"3\r\nabc0\r\n\r\n"),
        "chunk-cr": chunks(b"3\rabc\r\n0\r\n\r\n"),
        "trailer-no-colon": chunks(b"3\r\nabc\r\n0\r\nX-One\r\n\r\n"),
    },
    # May be refused or read as meant.
    "lenient": {
        "chunk-lf": chunks(b"3\nabc\n0\n\n"),
        "chunk-blank": chunks(b"3 \r\nabc\r\n0\r\n\r\n"),
        "lengths-equal": post(b"Content-Length: 3\r\n" * 2, b"abc"),
    },
    "pipelined": {
        "after-good": get(b"X-One : 1\r\n"),
        "after-good-fold": get(b"X-One: 1\r\n two\r\n"),
        "after-good-nul": get(b"X-One: 1\0two\r\n"),
        "after-good-coding": post(CHUNKED * 2, BODY),
        "after-good-chunk": chunks(b"+3\r\nabc\r\n0\r\n\r\n"),
    },
    "length-page": {
        "length-plus": post(b"Content-Length: +3\r\n", b"abc"),
        "length-0x": post(b"Content-Length: 0x3\r\n", b"abc"),
        "length-list": post(b"Content-Length: 3, 3\r\n", b"abc"),
        "length-minus": post(b"Content-Length: -3\r\n", b"abc"),
        "length-huge": post(b"Content-Length: 99999999999999999999\r\n",
                            b"abc"),
        "length-empty": post(b"Content-Length:\r\n", b"abc"),
    },
    "length-blank": {
        "length-blank": post(b"Content-Length: 3 \r\n", b"abc"),
    },
    "coding-blank": {
        "coding-blank": post(b"Transfer-Encoding: chunked \r\n", BODY),
    },
}


def ask(upstream, name):
    with urllib.request.urlopen("http://%s/test/%s" % (upstream, name)) as a:
        return json.load(a)


def fill_in(number, data, is_pipelined):
    plain = b"GET " + LINE + HOST
    if is_pipelined:
        data = plain + b"@BEFORE@\r\n" + data
    data += plain + b"@NEXT@\r\n"
    for word in WORDS:
        data = data.replace(b"@%s@" % word.upper().encode(),
                            ID_LINE % (word.encode(), number))
    return data


def send_bytewise(connection, data):
    for i in range(len(data)):
        connection.sendall(data[i:i + 1])
        time.sleep(0.001)


def send(entry, name, data, count):
    """Returns the statuses of the answers, the end of the connection and the
    faults; that many answers are waited for."""
    statuses, faults = [], []
    with connect(entry, WAIT_S) as connection:
        if name == "bytewise":
            send_bytewise(connection, data)
        else:
            connection.sendall(data)
        reader = StrictReader(connection, is_pipelined=True)
        while True:
            connection.settimeout(WAIT_S if len(statuses) < count else IDLE_S)
            answer = reader.read(
                is_continued=name == "expect" and not statuses)
            faults += answer.faults
            if answer.end != "whole":
                break
            statuses.append(str(answer.status))
    end = answer.end
    if end in ("none", "reset"):
        end = "closed"
    elif end == "silent" and len(statuses) >= count:
        end = "open"
    return statuses, end, faults


def list_run(runs, received, number):
    """Returns which requests ran, each with its body."""
    ran = []
    for word in WORDS:
        key = "%s-%03d" % (word, number)
        if key in runs:
            body = received[key]["body"]
            ran.append(word + ("=" + body if body else ""))
            ran += ["again"] * (runs[key] - 1)
    return ran


def main():
    entry, upstream, *groups = sys.argv[1:]
    numbers = {name: i for i, name in enumerate(
        name for forms in GROUPS.values() for name in forms)}
    rows = []
    for group in groups:
        is_pipelined = group == "pipelined"
        for name, data in GROUPS[group].items():
            data = fill_in(numbers[name], data, is_pipelined)
            rows.append((name, *send(entry, name, data, 2 + is_pipelined)))
    runs, received = ask(upstream, "runs"), ask(upstream, "received")
    for name, statuses, end, faults in rows:
        number = numbers[name]
        print(name, " ".join(statuses) or "-", end,
              " ".join(list_run(runs, received, number)) or "none", *faults)


if __name__ == "__main__":
    main()
