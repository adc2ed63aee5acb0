"""Framing, transactions, sessions and packages: partial input, repeats, unexpected replies, limits."""

from __future__ import annotations

import pytest

from peattrestle.h248 import package, text
from peattrestle.h248.package import BadValue, Outcome, SetUpRequest
from peattrestle.h248.session import MalformedMessage, ProtocolViolation, Session
from peattrestle.h248.tpkt import BadFrame, Framer, frame
from peattrestle.h248.transactions import (
    LONG_TIMER,
    DuplicateRequest,
    NewRequest,
    PendingReceived,
    ReplyReceived,
    TooManyOpenRequests,
    Transactions,
    UnknownTransaction,
)

REQUEST = text.Request(5, [text.Action("-", [text.Command("AuditValue", "ROOT")])])


@pytest.mark.parametrize("step", [1, 2, 3, 5, 100])
def test_frames_in_any_pieces(step: int) -> None:
    data = frame(b"one") + frame(b"x" * 50) + frame(b"three")
    framer, messages = Framer(), []
    for offset in range(0, len(data), step):
        messages += framer.feed(data[offset : offset + step])
    assert messages == [b"one", b"x" * 50, b"three"]
    assert framer.buffered_bytes() == 0


@pytest.mark.parametrize(
    "data",
    [b"GET / HTTP", b"\x03\x01\x00\x08", b"\x03\x00\x00\x04", b"\x03\x00\x00\x00", b"\x03\x00\xff\xff"],
)
def test_an_invalid_frame_is_rejected(data: bytes) -> None:
    with pytest.raises(BadFrame):
        Framer(100).feed(data)


def test_the_frame_length_counts_the_header() -> None:
    assert frame(b"abc") == b"\x03\x00\x00\x07abc"
    with pytest.raises(ValueError):
        frame(b"x" * 65532)


def test_a_repeated_request_is_carried_out_once() -> None:
    peer = Transactions()
    assert peer.receive(0, REQUEST) == NewRequest(REQUEST)
    assert peer.receive(1, REQUEST) == DuplicateRequest("Pending=5{}")  # still being carried out
    peer.answer(5, "Reply=5{...}")
    assert peer.receive(2, REQUEST) == DuplicateRequest("Reply=5{...}")
    assert peer.receive(LONG_TIMER - 1, REQUEST) == DuplicateRequest("Reply=5{...}")
    with pytest.raises(KeyError):
        peer.answer(5, "another")
    peer.receive(3, text.Ack([(1, 9)]))
    assert peer.receive(4, REQUEST) is None  # acknowledged: nothing to send, nothing to do
    assert peer.receive(2 * LONG_TIMER, REQUEST) == NewRequest(REQUEST)  # kept for the long timer, no longer


def test_a_request_still_being_carried_out_is_not_forgotten() -> None:
    peer = Transactions()
    peer.receive(0, REQUEST)
    assert peer.receive(3 * LONG_TIMER, REQUEST) == DuplicateRequest("Pending=5{}")
    assert peer.receive(9 * LONG_TIMER, REQUEST) == DuplicateRequest("Pending=5{}")


def test_replies_out_of_order_late_and_unknown() -> None:
    peer = Transactions(first_id=(1 << 32) - 2)
    ids = [peer.begin(name) for name in "abc"]
    assert ids == [(1 << 32) - 2, (1 << 32) - 1, 1]  # 0 is no id
    reply = text.Reply(ids[2])
    assert peer.receive(0, reply) == ReplyReceived("c", reply)
    assert peer.receive(0, reply) == UnknownTransaction(1)  # a second time
    assert peer.receive(0, text.Pending(ids[0])) == PendingReceived("a")
    peer.close(ids[0])
    assert peer.receive(0, text.Reply(ids[0])) == UnknownTransaction(ids[0])
    assert peer.close_all() == ["b"]
    assert peer.receive(0, text.Reply(ids[1])) == UnknownTransaction(ids[1])


def test_open_requests_and_kept_replies_are_limited() -> None:
    peer = Transactions(max_open_requests=2, max_kept_replies=3)
    peer.begin(None)
    peer.begin(None)
    with pytest.raises(TooManyOpenRequests):
        peer.begin(None)
    for transaction_id in range(1, 6):
        peer.receive(0, text.Request(transaction_id, REQUEST.actions))
    assert list(peer.received_requests) == [3, 4, 5] and peer.evicted_early == 2


def test_acknowledgements_are_batched() -> None:
    peer = Transactions()
    for _ in range(40):
        peer.receive(0, text.Reply(peer.begin(None)))
    assert peer.acks() == "TransactionResponseAck{1-40}"
    assert peer.acks() == ""


def make_session() -> tuple[Session, list[bytes]]:
    sent: list[bytes] = []
    return Session("<a1>", Transactions(), sent.append), sent


def message(body: str, mid: str = "<g1>") -> bytes:
    return frame(f"MEGACO/1 {mid}\n{body}".encode())


@pytest.mark.parametrize(
    ("body", "answer"),
    [
        ("Transaction=9{Context=-{Dance=x}}", 'Reply=9{Error=443{"line 2, column 27'),
        ("Dance=1{}", 'Error=403{"line 2, column 1'),
    ],
)
def test_a_malformed_message_is_answered_and_the_next_one_is_read(body: str, answer: str) -> None:
    session, sent = make_session()
    events = session.feed(0, message(body) + message("Transaction=10{Context=-{AuditValue=ROOT}}"))
    assert isinstance(events[0], MalformedMessage) and isinstance(events[1], NewRequest)
    assert (
        answer.split("{")[0] in sent[0].decode() and answer.split('"')[-1].split(",")[0] in sent[0].decode()
    )


def test_too_many_malformed_messages_in_a_row_end_the_session() -> None:
    session, _ = make_session()
    with pytest.raises(ProtocolViolation):
        session.feed(0, message("Dance") * 30)


def test_a_peer_must_not_change_its_message_identifier() -> None:
    session, _ = make_session()
    session.feed(0, message("Pending=1{}"))
    with pytest.raises(ProtocolViolation):
        session.feed(0, message("Pending=1{}", "<g2>"))


def test_a_repeat_over_a_new_connection_gets_the_same_reply() -> None:
    transactions = Transactions()
    answers = []
    for _ in range(2):
        sent: list[bytes] = []
        session = Session("<a1>", Transactions(), sent.append, bind=lambda mid: transactions)
        events = session.feed(0, message("Transaction=4{Context=-{AuditValue=ROOT}}"))
        if events:
            session.reply(4, "Reply=4{Context=-{AuditValue=ROOT}}")
        answers.append(sent)
    assert answers[0] == answers[1] and len(answers[0]) == 1


REQUEST_PARAMETERS = SetUpRequest(
    "c/1", "reel-render", 57, 3_600_000_000, "dn.k 2", 2, 9, True, True, True, "team", "g1/1", 3
)


def test_a_written_set_up_reads_back() -> None:
    part = text.parse(b"MEGACO/1 x " + package.add_text(8, REQUEST_PARAMETERS).encode()).parts[0]
    assert isinstance(part, text.Request) and part.id == 8
    assert package.read_add(part.actions[0].commands[0]) == REQUEST_PARAMETERS


@pytest.mark.parametrize(
    ("name", "value", "error"),
    [
        ("ptc/abn", None, "ptc/abn is missing"),
        ("ptc/abn", "0", "ptc/abn"),
        ("ptc/abn", "1e9", "ptc/abn"),
        ("ptc/dst", "-2", "ptc/dst"),
        ("ptc/wid", "0", "ptc/wid"),
        ("ptc/wid", "\u00b2", "ptc/wid"),
        ("ptc/trn", "maybe", "ptc/trn"),
        ("ptc/brt", "", "ptc/brt is missing"),
        ("ptc/via", "9" * 30, "ptc/via"),
    ],
)
def test_a_missing_or_invalid_value_of_a_set_up_is_named(name: str, value: str | None, error: str) -> None:
    items = {"ptc/brt": "line", "ptc/dst": "1", "ptc/abn": "5"} | ({name: value} if value is not None else {})
    if value is None:
        del items[name]
    control = text.Item(
        "LocalControl", None, [text.Item(key, text_value) for key, text_value in items.items()]
    )
    with pytest.raises(BadValue, match=error):
        package.read_add(text.Command("Add", "c/1", [text.Item("Media", None, [control])]))


@pytest.mark.parametrize(
    "outcome",
    [
        Outcome(0, "17", load={"free": 3, "size": 30, "queue": 0, "rate": 12.5}),
        Outcome(510, "-", "refused", "processor_full", 500_000_000, 2_000, {"free": 0.0}),
        Outcome(530, "-", "failed"),
    ],
)
def test_a_written_outcome_reads_back(outcome: Outcome) -> None:
    part = text.parse(b"MEGACO/1 x " + package.outcome_text(3, "c/1", outcome).encode()).parts[0]
    assert isinstance(part, text.Reply)
    read = package.read_outcome(part)
    assert (read.code, read.cause, read.retry_after, read.wait) == (
        outcome.code,
        outcome.cause,
        outcome.retry_after,
        outcome.wait,
    )
    assert (read.load or {}) == (outcome.load or {})


@pytest.mark.parametrize(
    ("reply", "code"),
    [
        ("Reply=1{Context=5{Add=t}}", 0),
        ("Reply=1{Context=-{Add=t}}", 500),  # success without a context
        ('Reply=1{Error=406{"x"}}', 406),
        ('Reply=1{Context=5{Error=411{"x"}}}', 411),
        ("Reply=1{Context=5}", 500),
    ],
)
def test_invalid_replies_never_count_as_success(reply: str, code: int) -> None:
    part = text.parse(f"MEGACO/1 x {reply}".encode()).parts[0]
    assert isinstance(part, text.Reply) and package.read_outcome(part).code == code
