"""Answers each request with Transfer-Encoding twice.

    twice_server.py ADDRESS:PORT

For tests of the readers that other tests use.
"""
import socketserver
import sys

ANSWER = (b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
          b"X-Limpetflow-Response-Stamp: stamp\r\n"
          b"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n"
          b"5\r\nhello\r\n0\r\n\r\n")


class Handler(socketserver.StreamRequestHandler):
    def handle(self):
        length = 0
        for line in self.rfile:
            if line.lower().startswith(b"content-length:"):
                length = int(line.split(b":")[1])
            if line == b"\r\n":
                self.rfile.read(length)
                self.wfile.write(ANSWER)
                length = 0


class Server(socketserver.ThreadingTCPServer):
    allow_reuse_address = True
    daemon_threads = True

    def handle_error(self, request, client_address):
        pass  # callers leave


host, port = sys.argv[1].split(":")
Server((host, int(port)), Handler).serve_forever()
