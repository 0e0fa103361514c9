"""Asks an entry for paths until it is gone, and reads its answers strictly.

    strict-caller.py ADDRESS:PORT SECONDS PATH[,NAME:VALUE...]...

Each path is asked on a kept connection of its own, and on a new one after each
close, until nobody listens or the time is over. NAME:VALUE is a further field of
the request; "method=HEAD", "version=1.0" and "body=FILE" are such words too. Prints a line of
JSON for each answer: path, status, framing, closing, end, faults, the bytes of
the body, the id of the request and that in the answer's head, and the first 80
bytes of the body.
"""
import json
import os
import sys
import threading
import time

from strict_reader import StrictReader, connect, make_request

PAUSE_S = 0.01
CLOSE_S = 4  # after an answer that is the last one of its connection
lock = threading.Lock()
count = 0


def next_id():
    global count
    with lock:
        count += 1
        return "c%d-%d" % (os.getpid(), count)


def ask(reader, path, words):
    method, version, body = "GET", "1.1", None
    fields = [("Host", "a.example"), ("X-Limpetflow-Request-Id", next_id()),
              ("X-Limpetflow-Deadline-Ms", "2500")]
    id = fields[1][1]
    for word in words:
        if word.startswith("method="):
            method = word[len("method="):]
        elif word.startswith("version="):
            version = word[len("version="):]
        elif word.startswith("body="):
            with open(word[len("body="):], "rb") as file:
                body = file.read()
        else:
            fields.append(tuple(word.split(":", 1)))
    rest = reader.read_rest()
    reader.connection.settimeout(8)
    reader.connection.sendall(make_request(method, path, fields, body,
                                           version))
    answer = reader.read(method, version)
    if rest:
        answer.faults.append("bytes after the last answer: %r" % rest[:80])
    if answer.end == "whole" and answer.will_close():
        answer.faults += reader.find_end_faults(CLOSE_S)
    with lock:
        print(json.dumps({"path": path, "words": words,
                          "status": answer.status, "framing": answer.framing,
                          "closing": answer.will_close(), "end": answer.end,
                          "faults": answer.faults,
                          "bytes": len(answer.body), "id": id,
                          "answer_id": answer.value("X-Limpetflow-Request-Id"),
                          "body": answer.body[:80].decode("latin1")}),
              flush=True)
    return answer.end == "whole" and not answer.will_close()


def run(address, until, path, words):
    while time.monotonic() < until:
        try:
            with connect(address) as connection:
                reader = StrictReader(connection)
                while time.monotonic() < until and ask(reader, path, words):
                    time.sleep(PAUSE_S)
        except ConnectionRefusedError:
            return
        except OSError:
            pass
        time.sleep(PAUSE_S)


def main():
    until = time.monotonic() + float(sys.argv[2])
    threads = []
    for text in sys.argv[3:]:
        path, *words = text.split(",")
        threads.append(threading.Thread(
            target=run, args=(sys.argv[1], until, path, words)))
        threads[-1].start()
    for thread in threads:
        thread.join()


if __name__ == "__main__":
    main()
