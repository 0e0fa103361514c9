"""Asks for an answer of every status from 000 to 999 through an entry.

    every-status.py ENTRY PREFIX

Prints ranges of statuses of the upstream and what the caller got for them: "same"
is the upstream's status with its stamp, "of the entry" one of the entry's own, "the
final 200" what came after an interim head. A request that the entry refuses without
sending it, as the upstream is ejected, is sent again; "refused" is one that always
is. An answer with a fault ends the program.
"""
import sys
import time

from strict_reader import StrictReader, connect, make_request

TRIES = 100
PAUSE_S = 0.05


def ask(entry, prefix, code, attempt):
    form = "interim" if 100 <= code < 200 else "length"
    with connect(entry, 5) as connection:
        connection.sendall(make_request(
            "GET", "/%s/status-%03d-%s" % (prefix, code, form),
            [("Host", "a.example"),
             ("X-Limpetflow-Request-Id", "s-%d-%d" % (code, attempt)),
             ("X-Limpetflow-Deadline-Ms", "3000")]))
        answer = StrictReader(connection).read()
    if answer.faults or answer.end != "whole":
        sys.exit("%03d: %d %s %s" % (code, answer.status, answer.end,
                                     answer.faults))
    return answer.status, answer.value("X-Limpetflow-Response-Stamp")


def classify(entry, prefix, code):
    for attempt in range(TRIES):
        status, stamp = ask(entry, prefix, code, attempt)
        if status == 503 and not stamp:
            time.sleep(PAUSE_S)
            continue
        if status == code and stamp:
            return "same"
        if status == 200 and stamp:
            return "the final 200"
        return "%d %s" % (status, "with stamp" if stamp else "of the entry")
    return "refused"


def main():
    entry, prefix = sys.argv[1:3]
    first, last_result = 0, None
    for code in range(1001):
        result = classify(entry, prefix, code) if code < 1000 else None
        if result != last_result:
            if last_result:
                print("%03d to %03d: %s" % (first, code - 1, last_result),
                      flush=True)
            first, last_result = code, result


main()
