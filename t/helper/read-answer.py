"""Reads an answer from a socket and reports how it was framed and how it ended.

    read-answer.py ADDRESS:PORT PATH [NAME:VALUE...] [body=TEXT] [version=1.0]

With a body the request is a POST.

Prints one line: status, framing, end, and the ids of the whole events or the
size of the body. The end is
    whole    by its length or its last chunk
    closed   the connection closed where nothing marks the end
    inside   the same, within an event
    cut      the connection closed or was reset before the end
    silent   nothing came for 8 s
"""
import re
import socket
import sys

TIMEOUT_S = 8


def decode_chunks(data):
    """Returns the body and whether the last chunk was received."""
    body = b""
    while True:
        line, end, rest = data.partition(b"\r\n")
        if not end:
            return body, False
        size = int(line.split(b";")[0], 16)
        if size == 0:
            return body, rest.startswith(b"\r\n")
        body += rest[:size]
        if len(rest) < size + 2:
            return body, False
        data = rest[size + 2:]


class Answer:
    def __init__(self):
        self.data = b""
        self.is_reset = False
        self.is_silent = False
        self.is_closed = False

    def parse(self):
        """Sets status, framing, body and is_whole from the bytes so far."""
        head, end, rest = self.data.partition(b"\r\n\r\n")
        self.status, self.framing, self.body = "-", "none", b""
        self.is_whole = False
        self.is_stream = b"text/event-stream" in head
        if not end:
            return
        self.status = head.split()[1].decode()
        length = re.search(rb"(?i)\r\ncontent-length: *(\d+)", head)
        if re.search(rb"(?i)\r\ntransfer-encoding: *chunked", head):
            self.framing = "chunked"
            self.body, self.is_whole = decode_chunks(rest)
        elif length:
            self.framing = "length"
            self.body = rest[:int(length[1])]
            self.is_whole = len(rest) >= int(length[1])
        else:
            self.framing = "close"
            self.body = rest

    def end(self):
        if self.is_whole:
            return "whole"
        if self.is_silent:
            return "silent"
        if self.is_reset or self.framing != "close":
            return "cut"
        if self.is_stream and self.body and not self.body.endswith(b"\n\n"):
            return "inside"
        return "closed"

    def content(self):
        if not self.is_stream:
            return "%d bytes" % len(self.body)
        ids = re.findall(rb"id: (\d+)\ndata: [^\n]*\n\n", self.body)
        return "events " + b"".join(ids).decode()


def main():
    host, port = sys.argv[1].split(":")
    body, version = None, "1.1"
    lines = ["Host: a.example"]
    for word in sys.argv[3:]:
        if word.startswith("body="):
            body = word[len("body="):]
            lines.append("Content-Length: %d" % len(body))
        elif word.startswith("version="):
            version = word[len("version="):]
        else:
            lines.append(word.replace(":", ": ", 1))
    method = "GET" if body is None else "POST"
    lines.insert(0, "%s %s HTTP/%s" % (method, sys.argv[2], version))
    answer = Answer()
    with socket.create_connection((host, int(port)), TIMEOUT_S) as s:
        s.settimeout(TIMEOUT_S)
        s.sendall(("\r\n".join(lines) + "\r\n\r\n" +
                   (body or "")).encode())
        answer.parse()
        while not answer.is_whole:
            try:
                data = s.recv(65536)
            except ConnectionError:
                answer.is_reset = True
                break
            except TimeoutError:
                answer.is_silent = True
                break
            if not data:
                answer.is_closed = True
                break
            answer.data += data
            answer.parse()
    print(answer.status, answer.framing, answer.end(), answer.content())


if __name__ == "__main__":
    main()
