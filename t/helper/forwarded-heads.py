"""Sends raw requests to an entry, and prints what its upstream reads of them.

    forwarded-heads.py ENTRY UPSTREAM NAME...

UPSTREAM is a raw_server.py. Prints for each request its name, the status, the
bytes of the answer's body and the faults of the answer, and then the upstream's
request line and fields, sorted, "(count)" before fields that came more than once,
and the body. Fields of the entry's own are left out if they came once.
"""
import collections
import json
import sys
import time
import urllib.request

from strict_reader import StrictReader, connect

VARYING = ("x-limpetflow-deadline-ms", "x-limpetflow-expect-instance",
           "x-limpetflow-request-priority", "x-limpetflow-request-id")

REQUESTS = {
    "plain": ("GET", "plain-length", "", ""),
    "values": ("GET", "plain-length",
               "X-Blanks: \t a  b \t \r\nX-Tab: a\tb\r\nX-Empty:\r\n"
               "X-High: \xe9\xff\r\nX-Quoted: \"a;b\",;c:\r\n", ""),
    "names": ("GET", "plain-length",
              "!#$%&'*+-.^_`|~09az: 1\r\nX-UPPER-lower: 1\r\n", ""),
    "repeated": ("GET", "plain-length",
                 "X-One: 1\r\nX-Two: 2\r\nX-One: 1\r\nx-one: 3\r\n"
                 "Cookie: a=b\r\nCookie: c=d\r\n", ""),
    "library": ("GET", "plain-length",
                "Accept: text/x\r\nUser-Agent: u\r\nExpect:\r\n"
                "Accept-Encoding: identity\r\n", ""),
    "connections": ("GET", "plain-length",
                    "X-One: 1\r\nX-Two: 2\r\nX-Three: 3\r\n"
                    "Connection: x-one\r\nConnection: keep-alive, X-Two\r\n"
                    "Keep-Alive: 5\r\nTE: trailers\r\nUpgrade: h2c\r\n", ""),
    "post": ("POST", "plain-length", "Content-Length: 3\r\n", "abc"),
    "post-type": ("POST", "plain-length",
                  "content-type: text/x\r\nContent-Length: 3\r\n", "abc"),
    "post-empty": ("POST", "plain-length", "Content-Length: 0\r\n", ""),
    "post-chunks": ("POST", "plain-length", "Transfer-Encoding: chunked\r\n",
                    "3\r\nabc\r\n0\r\n\r\n"),
    "put": ("PUT", "plain-length", "Content-Length: 3\r\n", "abc"),
    "get-body": ("GET", "plain-length", "Content-Length: 3\r\n", "abc"),
    "delete": ("DELETE", "plain-length", "", ""),
    "options": ("OPTIONS", "plain-length", "", ""),
    "odd-method": ("X-ODD", "plain-length", "", ""),
    "head-length": ("HEAD", "plain-length", "", ""),
    "head-chunked": ("HEAD", "plain-chunked", "", ""),
    "head-close": ("HEAD", "plain-close", "", ""),
    "head-again": ("HEAD", "plain-length", "", ""),
}


def describe(received):
    first, *lines = received["head"].split("\r\n")[:-2]
    print("  " + first)
    found = collections.Counter()
    for line in lines:
        name = line.split(":")[0].lower()
        found[name if name in VARYING else line] += 1
    for line in sorted(found):
        if line not in VARYING or found[line] > 1:
            print("  %s%s" % ("(%d) " % found[line] if found[line] > 1 else "",
                              line.encode("unicode_escape").decode()))
    print("  body: %s." % received["body"])


def main():
    entry, upstream, *names = sys.argv[1:]
    answers = []
    for name in names:
        method, form, lines, body = REQUESTS[name]
        text = ("%s /plain/%s HTTP/1.1\r\nHost: a.example\r\n"
                "X-Limpetflow-Request-Id: %s\r\n%s\r\n%s" %
                (method, form, name, lines, body))
        with connect(entry, 5) as connection:
            connection.sendall(text.encode("latin1"))
            began = time.monotonic()
            answer = StrictReader(connection).read(method=method)
            late = ["late"] if time.monotonic() - began > 2 else []
        answers.append((name, answer.status, len(answer.body),
                        *answer.faults, *late))
    with urllib.request.urlopen("http://%s/test/received" % upstream) as a:
        received = json.load(a)
    for answer in answers:
        print(*answer)
        if answer[0] in received:
            describe(received[answer[0]])


if __name__ == "__main__":
    main()
