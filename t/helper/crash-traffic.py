"""Traffic of which some requests crash their engines, and the judgement of it.

    crash-traffic.py send KIND SECONDS-SOUND SECONDS-MIXED PART TEXT ENTRY...
    crash-traffic.py judge REQUESTS ENGINES CRASHES

send first sends sound requests only, then also requests that crash engines, to
entries drawn by chance. KIND "part": the latter share the part PART in the
middle of their prompts and nothing else; "request": they are one request with
TEXT in its body; "other": requests with TEXT in their bodies, but each another
one, and less often. All share account, route, first part and one of a few
second parts with the sound ones.
Prints a JSON line for each request, and exits 1 when an answer has a fault.

judge reads the output of send, and that of crash_engine.py, and prints figures
around the crash with the number CRASHES as one JSON object:
    crashes     number of crashes
    late        crashing requests that reached engines later than 3 s after it
    begun_before, begun_after   share of the sound requests whose answer began,
                of those sent before the first crash, and of those sent later
                than 6 s after it
    sound_after number of the latter
    blamed_sound     sound requests refused as crashing
    refused     crashing requests refused as such, not run
    odd_refusals     those of them that have another status than 503, or no
                delay for the retry
"""
import asyncio
import json
import random
import sys
import time

from strict_reader import parse

SOUND_PER_S = 40
CRASHING_PER_S = {"part": 4, "request": 4, "other": 1}
STABLE_S = 3
TIMEOUT_S = 5
FIRST_PART = "5c1e07a2"
SECOND_PARTS = ["91bd%04x" % i for i in range(40)]


def new_id():
    return "%016x" % random.getrandbits(64)


def prompt(parts):
    return ",".join(part + ":100" for part in parts + [new_id()])


def make_request(kind, part, text):
    """Returns the prompt and the body of a request."""
    if kind == "request":
        return FIRST_PART + ":100,91:100", text
    second = random.choice(SECOND_PARTS)
    if kind == "part":
        return prompt([FIRST_PART, part, second]), new_id()
    return (prompt([FIRST_PART, second]),
            (text if kind == "other" else "") + new_id())


def parse_answer(data, is_closed):
    """Returns the fields to print about the bytes of an answer."""
    answer = parse(data, is_closed)
    reason = None
    if answer.status not in (0, 200):
        try:
            reason = json.loads(answer.body).get("reason")
        except ValueError:
            pass
    return {"status": answer.status, "reason": reason,
            "retry_after": answer.value("Retry-After"),
            "whole": answer.end == "whole" and answer.framing == "chunked",
            "faults": answer.faults}


async def send(kind, part, text, entry):
    request = new_id()
    prefix, body = make_request(kind, part, text)
    out = {"sent": time.monotonic(), "kind": kind, "request": request,
           "entry": entry, "status": 0}
    data, is_closed = b"", False
    try:
        async with asyncio.timeout(TIMEOUT_S):
            host, port = entry.split(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write((
                f"POST /ask/x HTTP/1.1\r\nHost: a.example\r\n"
                f"X-Limpetflow-Request-Id: {request}\r\n"
                "X-Limpetflow-Model: m\r\n"
                "X-Limpetflow-Token-Count: 300,80\r\n"
                f"X-Limpetflow-Prompt-Prefix: {prefix}\r\n"
                "X-Limpetflow-Deadline-Ms: 4000\r\n"
                "Authorization: Bearer k1\r\nConnection: close\r\n"
                f"Content-Length: {len(body)}\r\n\r\n{body}").encode())
            while True:
                piece = await reader.read(65536)
                is_closed = not piece
                if is_closed:
                    break
                data += piece
            writer.close()
    except (OSError, TimeoutError):
        pass
    out.update(parse_answer(data, is_closed))
    print(json.dumps(out), flush=True)
    return len(out["faults"])


async def send_all(kind, sound_s, mixed_s, part, text, entries):
    tasks = []
    start = time.monotonic()
    for i in range(int((sound_s + mixed_s) * SOUND_PER_S)):
        await asyncio.sleep(
            max(0, start + i / SOUND_PER_S - time.monotonic()))
        kinds = ["sound"]
        if (i >= sound_s * SOUND_PER_S
                and i % (SOUND_PER_S // CRASHING_PER_S[kind]) == 0):
            kinds.append(kind)
        for k in kinds:
            task = asyncio.create_task(
                send(k, part, text, random.choice(entries)))
            tasks.append(task)
    return sum(await asyncio.gather(*tasks))


def read_lines(name):
    with open(name, encoding="ascii") as file:
        return [json.loads(line) for line in file]


def begun_share(requests):
    begun = sum(r["status"] == 200 for r in requests)
    return round(begun / len(requests), 3) if requests else None


def judge(requests, engines, number):
    first, last = requests[0]["sent"], requests[-1]["sent"] + TIMEOUT_S
    engines = [e for e in engines if first <= e["at"] <= last]
    crashes = [e["at"] for e in engines if e["what"] == "crash"]
    bound = crashes[min(number, len(crashes)) - 1]
    sound = [r for r in requests if r["kind"] == "sound"]
    after = [r for r in sound if r["sent"] > bound + 2 * STABLE_S]
    blamed = [r for r in requests
              if (r.get("reason") or "").startswith("crashing-")]
    refused = [r for r in blamed if r["kind"] != "sound"]
    return {
        "crashes": len(crashes),
        "late": sum(e["what"] == "arrive" and e["marked"]
                    and e["at"] > bound + STABLE_S for e in engines),
        "begun_before": begun_share(
            [r for r in sound if r["sent"] < crashes[0]]),
        "begun_after": begun_share(after),
        "sound_after": len(after),
        "blamed_sound": len(blamed) - len(refused),
        "refused": sum(r["status"] == 503 for r in refused),
        "odd_refusals": sum(
            r["status"] not in (502, 503)
            or (r["status"] == 503 and not float(r["retry_after"] or 0) > 0)
            for r in refused),
    }


def main():
    if sys.argv[1] == "judge":
        requests = sorted(read_lines(sys.argv[2]), key=lambda r: r["sent"])
        print(json.dumps(judge(requests, read_lines(sys.argv[3]),
                               int(sys.argv[4]))))
        return
    kind, sound_s, mixed_s, part, text = sys.argv[2:7]
    faults = asyncio.run(send_all(kind, float(sound_s), float(mixed_s), part,
                                  text, sys.argv[7:]))
    sys.exit(1 if faults else 0)


if __name__ == "__main__":
    main()
