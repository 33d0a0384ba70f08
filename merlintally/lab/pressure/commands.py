"""The commands that straining clients send, by kind, without end."""

from __future__ import annotations

from collections.abc import Iterator
from itertools import count
from random import Random

from merlintally.net.resp import array

BODY_BYTES = 65_000
USUAL_CUSTOMER = b"%016x" % 7
FIRST_NEW_CUSTOMER = 1 << 20
SPENT_CUSTOMER = b"%016x" % (1 << 12)  # whose small quota a flood spends at once: nearly all is refused
LONG_WAIT_MS = 8000
ASK_TERMS = "c=look,t={plan},d={wait_ms},units=1,spread={spread},first=0"


def ask(customer: bytes, id_: bytes, plan: str = "open", spread: int = 4, wait_ms: int = 1600) -> bytes:
    """Encode a repeatable request."""
    terms = ASK_TERMS.format(plan=plan, wait_ms=wait_ms, spread=spread)
    return array(b"Q.ASK", customer, id_, terms.encode())


def order(customer: bytes, id_: bytes, class_: str, body: bytes, wait_ms: int = 1600) -> bytes:
    """Encode a request that may not be repeated (`pay`), or only by its key (`order`)."""
    key = f",k={id_.decode()}" if class_ == "order" else ""
    terms = f"c={class_},t=open,d={wait_ms}{key},units=1,spread=1,first=0"
    return array(b"Q.DO", customer, id_, terms.encode(), body)


def long_order(id_: bytes) -> bytes:
    """Encode a request near the largest that a message may carry."""
    return order(USUAL_CUSTOMER, id_, "order", b"x" * BODY_BYTES)


def new_customers(chance: Random, plan: str, spread: int, wait_ms: int) -> Iterator[bytes]:
    """Yield requests, each of a customer that was never seen before."""
    first = FIRST_NEW_CUSTOMER + chance.randrange(1 << 30)
    for number in count(first):
        yield ask(b"%016x" % number, b"new-%x" % number, plan, spread, wait_ms)


def spent_quota(seed: int, chance: Random) -> Iterator[bytes]:
    """Yield requests of one customer whose quota is spent."""
    for number in count(chance.randrange(1 << 30)):
        yield ask(SPENT_CUSTOMER, b"spent-%x-%x" % (seed, number), "capped", 1, 2000)


def new_fields(chance: Random) -> Iterator[bytes]:
    """Yield requests whose list of names and values has very many short, ever new names."""
    for number in count(chance.randrange(1 << 20)):
        fields = ",".join(f"{number + at:x}={at % 10}" for at in range(8000))
        terms = f"c=look,t=open,d=1600,units=1,spread=1,first=0,{fields}"[: 63 << 10].rpartition(",")[0]
        yield array(b"Q.ASK", USUAL_CUSTOMER, b"field-%x" % number, terms.encode())


def repeated(command: bytes) -> Iterator[bytes]:
    """Yield the same command again and again."""
    while True:
        yield command


def commands(kind: str, seed: int) -> Iterator[bytes]:
    """Yield the commands of a kind; raises KeyError for one that is unknown."""
    chance = Random(seed)
    kinds = {
        "ping": repeated(array(b"PING")),
        "unknown": repeated(array(b"NONSENSE", b"word")),
        "unsound": repeated(array(b"Q.ASK", b"no-customer", b"id", b"c=look,units=-1")),
        "words": repeated(array(*[b"w"] * 60)),
        "fields": new_fields(chance),
        "spent-quota": spent_quota(seed, chance),
        "new-customers": new_customers(chance, "open", 4, 1600),
        "new-customers-patient": new_customers(chance, "open", 4, LONG_WAIT_MS),
        "new-customers-alone": new_customers(chance, "open", 1, LONG_WAIT_MS),
        "new-customers-capped": new_customers(chance, "capped", 4, LONG_WAIT_MS),
        "new-orders": (
            order(b"%016x" % (FIRST_NEW_CUSTOMER + number), b"pay-%x-%x" % (seed, number), "pay", b"B", 8000)
            for number in count(chance.randrange(1 << 30))
        ),
    }
    return kinds[kind]
