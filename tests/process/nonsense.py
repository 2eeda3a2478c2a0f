"""Requests, frames and JSON values that nobody should send, drawn from a random.Random."""
import json
import struct

PAGES = ("/", "/rota/", "/nosuch/0123456789abcdef", "/rota/xyz", "/readiness", "/metrics", "*", "http://x/rota/", "//",
         "/%00%ff", "/rota/0123456789abcdef/../..", "/" + "a" * 9000, "/rota/?a=%zz&&=&b")
METHODS = ("GET", "POST", "DELETE", "PUT", "HEAD", "OPTIONS", "CONNECT", "TRACE", "PATCH", "X" * 300)
HEADERS = ("Expect: 100-continue", "Range: bytes=0-1,1-2,0-", "Range: bytes=-9999999999999999999", "Upgrade: websocket",
           "Connection: upgrade, keep-alive", "Transfer-Encoding: chunked", "Content-Length: -1", "Content-Length: 7",
           "Content-Length: 99999999999999999999", "Host:", "Host: jobs.example", "Cookie: " + "a" * 3000,
           "Mimosastair-Deadline-Ms: -1", "Mimosastair-Deadline-Ms: 99999999999999999999", "Content-Encoding: gzip",
           "Authorization: Digest x", "Accept: ,;,q=")
STATUS = ("abc", -1, 0, 99, 999, 100, 101, 204, 206, "301 X\r\nLocation: /hold", "302 X\r\nLocation: http://[::1", 304,
          "401 X\r\nWWW-Authenticate: Digest realm", 407, 409, 421, 429, 500, 503, "200 X\r\nContent-Length: 3",
          "200 X\r\nTransfer-Encoding: chunked", "200 X\r\nContent-Encoding: gzip")
ODD = (None, True, -1, 0, 2**31, 2**63 - 1, -2**63, 2**64, 1e308, 0.5, "", "\u0000", "x" * 5000, [], {}, [[]], [None],
       {"a": {}})
JOB = {"spec": "{}", "job-steps": [{"count": 1, "cpu": 10, "mem-mb": 1, "after": [0], "gang": True}], "times": 2,
       "start-at-ms": 5, "interval-ms": 1}
VARINTS = (b"\x00", b"\x01", b"\x07", b"\xff" * 9 + b"\x01")
TEXTS = (b"", b"vm-1", b"i-00", b"\xff")


def mutate(value, draw):
    """A JSON value with some parts replaced."""
    if draw.random() < 0.08:
        return draw.choice(ODD)
    if isinstance(value, dict):
        return {k: mutate(v, draw) for k, v in value.items() if draw.random() < 0.97}
    if isinstance(value, list):
        return [mutate(v, draw) for v in value] * draw.choice((1, 1, 1, 2))
    return value


def message(draw, depth=3):
    """Bytes in the wire format of protobuf."""
    out = b""
    for _ in range(draw.randrange(6)):
        kind = draw.choice((0, 2, 2, 2, 5))
        out += bytes([draw.randrange(1, 16) << 3 | kind])
        if kind == 0:
            out += draw.choice(VARINTS)
        elif kind == 5:
            out += draw.randbytes(4)
        else:
            inner = message(draw, depth - 1)[:127] if depth and draw.random() < 0.7 else draw.choice(TEXTS)
            out += bytes([len(inner)]) + inner
    return out


def request(draw):
    """A request with odd headers or an odd body, at times only a part of it or three in a row."""
    body = json.dumps(mutate(JOB, draw)).encode()
    page = draw.choice(PAGES + (f"/rota/{draw.getrandbits(64):016x}",) * 8)
    lines = [f"{draw.choice(METHODS)} {page} HTTP/1.{draw.choice('0119')}"]
    lines += draw.sample(HEADERS, draw.randrange(5))
    lines += [f"Content-Length: {len(body)}"] * draw.choice((0, 1, 1, 1, 2))
    text = "\r\n".join(lines).encode() + b"\r\n\r\n" + body
    return text[:draw.randrange(len(text))] if draw.random() < 0.4 else text * draw.choice((1, 1, 3))


def for_listener(listener, draw):
    """Bytes to send to one of harness.LISTENERS."""
    if listener == "peer" and draw.random() < 0.9:
        frames = [message(draw) for _ in range(draw.randrange(1, 6))]
        return b"".join(struct.pack(">I", len(frame)) + frame for frame in frames)
    return draw.randbytes(draw.randrange(400)) if draw.random() < 0.2 else request(draw)
