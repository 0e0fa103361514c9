"""Answers for raw_server.py: heads that HTTP doesn't allow, and odd ones.

    raw_heads.py KIND

prints the names of all forms of that kind: "invalid" or "odd" heads, "chunked" for
invalid chunks, "oddchunked" for odd ones.

The body of each is BODY. Readers that take a head in another way than the table
says get a part of it, the sizes of the chunks as well, or nothing.
"""
import sys

BODY = b'{"whole":1}'
CHUNKS = b"%x\r\n%s\r\n0\r\n\r\n" % (len(BODY), BODY)
STATUS = b"HTTP/1.1 200 OK\r\n"
LENGTH = b"Content-Length: 11\r\n"
CODING = b"Transfer-Encoding: chunked\r\n"


def lengths(*values):
    return STATUS, b"".join(b"Content-Length: %s\r\n" % v
                            for v in values), BODY


def codings(*values):
    return STATUS, b"".join(b"Transfer-Encoding: %s\r\n" % v
                            for v in values), CHUNKS


def with_line(line):
    return STATUS, line + b"\r\n" + LENGTH, BODY


def with_status(line):
    return line + b"\r\n", LENGTH, BODY


# The status line, further lines of the head, and the bytes after it.
INVALID = {
    "length-twice": lengths(b"11", b"3"),
    "length-less": lengths(b"3", b"11"),
    "length-equal": lengths(b"11", b"11"),
    "length-list": lengths(b"11, 11"),
    "length-blank": lengths(b"0 11"),
    "length-hex": lengths(b"0x0b"),
    "length-plus": lengths(b"+11"),
    "length-minus": lengths(b"-11"),
    "length-empty": lengths(b""),
    "length-quoted": lengths(b'"11"'),
    "length-overflow": lengths(b"18446744073709551627"),
    "coding-twice": codings(b"chunked", b"chunked"),
    "coding-list": codings(b"chunked, chunked"),
    "coding-identity": codings(b"identity"),
    "coding-identity-first": codings(b"identity", b"chunked"),
    "coding-identity-last": codings(b"chunked", b"identity"),
    "coding-gzip": codings(b"gzip, chunked"),
    "coding-prefix": codings(b"xchunked"),
    "coding-parameter": codings(b"chunked;a=b"),
    "coding-quoted": codings(b'"chunked"'),
    "coding-empty": codings(b""),
    "coding-control": codings(b"\x0bchunked"),
    "coding-1.0": (b"HTTP/1.0 200 OK\r\n", CODING, CHUNKS),
    "name-blank-coding": (STATUS, b"Transfer-Encoding : chunked\r\n", CHUNKS),
    "name-tab-coding": (STATUS, b"Transfer-Encoding\t: chunked\r\n", CHUNKS),
    "name-blank-length": (STATUS, b"Content-Length : 3\r\n", BODY),
    "name-inside": with_line(b"X One: 1"),
    "name-empty": with_line(b": 1"),
    "name-byte": with_line(b"X-\xe9: 1"),
    "folded-coding": (STATUS, b"Transfer-Encoding:\r\n chunked\r\n", CHUNKS),
    "folded-field": with_line(b"X-One: 1\r\n two"),
    "folded-first": with_line(b" X-One: 1"),
    "no-colon": with_line(b"X-One"),
    "cr-value": with_line(b"X-One: 1\rContent-Length: 3"),
    "cr-end": with_line(b"X-One: 1\r"),
    "cr-start": with_line(b"\rX-One: 1"),
    "nul-value": with_line(b"X-One: 1\0Content-Length: 3"),
    "nul-name": with_line(b"X-One\0: 1"),
    "status-cr": with_status(b"HTTP/1.1 200 OK\rContent-Length: 3"),
    "status-nul": with_status(b"HTTP/1.1 200\0OK"),
    "status-blanks": with_status(b"HTTP/1.1  200 OK"),
    "status-tab": with_status(b"HTTP/1.1\t200 OK"),
    "status-case": with_status(b"http/1.1 200 OK"),
    "status-joined": with_status(b"HTTP/1.1 200OK"),
    "status-version": with_status(b"HTTP/1.10 200 OK"),
    "status-2": with_status(b"HTTP/2 200 OK"),
    "interim-folded": (b"HTTP/1.1 103 Early Hints\r\n X: 1\r\n\r\n" + STATUS,
                       LENGTH, BODY),
    "interim-coding": (b"HTTP/1.1 103 Early Hints\r\n" + CODING * 2 + b"\r\n" +
                       STATUS, LENGTH, BODY),
    "promise": (b"HTTP/1.1 503 Service Unavailable\r\n",
                b"X-Limpetflow-Not-Run: 1\r\n" + LENGTH * 2, BODY),
}

ODD = {
    "length-and-coding": (STATUS, b"Content-Length: 3\r\n" + CODING, CHUNKS),
    "coding-and-length": (STATUS, CODING + b"Content-Length: 3\r\n", CHUNKS),
    "case": (STATUS, b"content-LENGTH:11\r\n", BODY),
    "case-coding": (STATUS, b"transfer-ENCODING:CHUNKED\r\n", CHUNKS),
    "blanks": (STATUS, b"Content-Length: \t 11 \t\r\n", BODY),
    "blanks-coding": (STATUS, b"Transfer-Encoding:\t chunked \r\n", CHUNKS),
    "empty-value": with_line(b"X-Empty:\r\nX-Blank: "),
    "byte": with_line(b"X-Byte: \xe9"),
    "marks": with_line(b"!#$%&'*+-.^_`|~9: a: b"),
    "no-reason": with_status(b"HTTP/1.1 200"),
    "empty-reason": with_status(b"HTTP/1.1 200 "),
    "1.0": with_status(b"HTTP/1.0 200 OK"),
    "lf": (STATUS, LENGTH, BODY),
    "lf-coding": (STATUS, CODING, CHUNKS),
    "interim": (b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + STATUS,
                LENGTH, BODY),
}


def chunks(text):
    """Returns an answer with text for its chunks; "B" is BODY."""
    return STATUS, CODING, text.replace(b"B", BODY)


# These are invalid after a head that is not, so that the answer is cut.
CHUNKED = {
    "prefix": chunks(b"0xb\r\nB\r\n0\r\n\r\n"),
    "blank": chunks(b"0 b\r\nB\r\n0\r\n\r\n"),
    "prefix-trailer": chunks(b"0x4\r\nX: 1\r\n\r\n"),
    "blank-trailer": chunks(b"0 4\r\nX: 1\r\n\r\n"),
    "minus": chunks(b"-b\r\nB\r\n0\r\n\r\n"),
    "plus": chunks(b"+b\r\nB\r\n0\r\n\r\n"),
    "first-blank": chunks(b" b\r\nB\r\n0\r\n\r\n"),
    "letter": chunks(b"bx\r\nB\r\n0\r\n\r\n"),
    "words": chunks(b"b x\r\nB\r\n0\r\n\r\n"),
    "empty": chunks(b"\r\nB\r\n0\r\n\r\n"),
    "large": chunks(b"1000000000000000b\r\nB\r\n0\r\n\r\n"),
    "cr": chunks(b"b\rx\nB\r\n0\r\n\r\n"),
    "extension-lf": chunks(b"b;x\nB\r\n0\r\n\r\n"),
    "short": chunks(b"a\r\nB\r\n0\r\n\r\n"),
    "joined": chunks(b"b\r\nB0\r\n\r\n"),
    "last-prefix": chunks(b"b\r\nB\r\n0x0\r\n\r\n"),
    "trailer-cr": chunks(b"b\r\nB\r\n0\r\nX: 1\rY: 2\r\n\r\n"),
}

ODD_CHUNKED = {
    "case": (STATUS, CODING, CHUNKS.replace(b"b", b"B", 1)),
    "zeros": chunks(b"000b\r\nB\r\n000\r\n\r\n"),
    "after-blank": chunks(b"b \r\nB\r\n0 \r\n\r\n"),
    "extension": chunks(b'b;a="x y"\r\nB\r\n0;b\r\n\r\n'),
    "extension-blank": chunks(b"b ;a\r\nB\r\n0\r\n\r\n"),
    "pieces": chunks(b"1\r\n{\r\n5\r\n\"whol\r\n5\r\ne\":1}\r\n0\r\n\r\n"),
    "trailers": chunks(b"b\r\nB\r\n0\r\nX-One: 1\r\nX-Two:\r\n\r\n"),
    "status-trailer": chunks(b"b\r\nB\r\n0\r\nHTTP/1.1 500 X\r\n\r\n"),
    "rest": chunks(b"b\r\nB\r\n0\r\n\r\nmore"),
}
TABLES = {"invalid": INVALID, "odd": ODD, "chunked": CHUNKED,
          "oddchunked": ODD_CHUNKED}


def make_answer(form, request_id):
    """Returns the bytes of an answer of the form "KIND-NAME"."""
    kind, _, name = form.partition("-")
    line, lines, body = TABLES[kind][name]
    if name == "folded-first":
        line, lines = line + lines.replace(LENGTH, b""), LENGTH
    head = (line + b"X-Limpetflow-Request-Id: " + request_id +
            b"\r\nX-Limpetflow-Response-Stamp: stamp\r\n" + lines + b"\r\n")
    if name.startswith("lf"):
        head = head.replace(b"\r\n", b"\n")
    return head + body


if __name__ == "__main__":
    print("\n".join(TABLES[sys.argv[1]]))
