"""The adapter to the simulator's protocol: batches and their replies, malformed input, exit codes."""

from __future__ import annotations

import io

import pytest

from peattrestle.wirehost.host import Host, main
from peattrestle.wirehost.parse import Line, Malformed, settings

BOOT = (
    '{"StepUs": 5000, "NInstances": 2, "New": {"x": 1}, "Caps": {"AttemptsCap": 6},'
    ' "Classes": [{"Name": "line", "AimUs": 1500000, "Worth": 1, "Semantics": "read_like"}],'
    ' "FamilyInfo": {"OwnNumber": 0, "ClearWaitUs": 300000, "HoldingUs": [10000000]},'
    ' "Report": {"Fields": ["free", "size", "pending", "can_take"]}}'
)
START = (
    "turn SimTimeUs=1000\nenlist Agent=0 Nonce64=5 BootInfo=" + BOOT + "\n"
    "census SetId=0 NodesList=2\nm Exchange=a:1 PointCode=0 Availability=1\n"
    "m Availability=1 Odd=3 PointCode=1 Exchange=b:1\nannounce Agent=0 Form=1 Index=1 SetId=0\n"
)
CALL = "call Agent=0 Id=9 Band=line ValidUntilUs=3000000 CalledNode=1 Units=1 Item=n\n"


def run_host(text: str) -> str:
    """Runs the host on an input and returns its output."""
    sink = io.StringIO()
    Host(io.StringIO(text), sink).run()
    return sink.getvalue()


@pytest.mark.parametrize(
    ("events", "reply"),
    [
        ("", ""),
        (CALL, "issue Agent=0 Id=9 Exchange=b:1 MaxWaitUs=2989000\n"),
        ("unheard Agent=0 Of=1\n" + CALL, "issue Agent=0 Id=9 Exchange=b:1 MaxWaitUs=2989000\n"),
        (
            "probe_done Agent=0 Exchange=b:1 Result=served RttUs=0 Pressure=0,30,-1,-1\n" + CALL,
            "say_no Agent=0 Id=9 StayAwayUs=0\n",
        ),
        (
            "detach Agent=0\nenlist Agent=0 Nonce64=5 BootInfo=" + BOOT + "\n" + CALL,  # with no exchange
            "say_no Agent=0 Id=9 StayAwayUs=0\n",
        ),
        ("detach Agent=0\n" + CALL, ""),
        (
            "census SetId=0 NodesList=1\nm Exchange=c:1 PointCode=1 Availability=1\n"  # same number
            "announce Agent=0 Form=4 Index=2 SetId=0\n" + CALL,
            "issue Agent=0 Id=9 Exchange=c:1 MaxWaitUs=2989000\n",
        ),
    ],
)
def test_a_batch_and_its_reply(events: str, reply: str) -> None:
    assert run_host(START + events + "go\n") == reply + "ack\n"


@pytest.mark.parametrize(
    ("text", "message"),
    [
        (START + "call Agent=0 nonsense Id=9\ngo\n", "not name=value"),
        (START + "call Agent=0 Id=nine ValidUntilUs=1 CalledNode=1\ngo\n", "not a whole number"),
        (START + "call Agent=0 Id=9 CalledNode=1\ngo\n", "ValidUntilUs is missing"),
        (START + "probe_done Agent=0 Exchange=b:1 Pressure=1,x\ngo\n", "comma-separated row of numbers"),
        (START + "announce Agent=0 Form=4 Index=2 SetId=7\ngo\n", "no exchange list with SetId=7 was given"),
        (START, "ends in the middle of a batch"),
        (START + "go", "ends in the middle of a batch"),
        ("turn SimTimeUs=1\nenlist Agent=0 BootInfo={\ngo\n", "not JSON"),
        ("turn SimTimeUs=1\nenlist Agent=0 BootInfo=[]\ngo\n", "not a JSON object"),
    ],
)
def test_malformed_input_raises_an_error_that_names_the_fault(text: str, message: str) -> None:
    with pytest.raises(Malformed, match=message):
        run_host(text)


def test_settings_are_flat_with_the_routers_names_and_nanoseconds() -> None:
    flat, fields = settings(BOOT)
    assert flat["release_time"] == 300_000_000
    assert flat["gos_target:line"] == 1_500_000_000
    assert flat["holding:line"] == 10_000_000_000
    assert (flat["effect:line"], flat["route_try_limit"]) == ("safe", 6)
    assert fields == ("free", "size", "queue", "rate")


def test_a_text_field_extends_to_the_end_of_its_line() -> None:
    line = Line('enlist Agent=3 BootInfo={"a": "b c=d"}')
    assert (line.integer("Agent"), line.text("BootInfo")) == (3, '{"a": "b c=d"}')


@pytest.mark.parametrize(
    ("text", "code", "out", "err"),
    [
        (START + "go\n", 0, "ack\n", ""),
        (START + "call Agent=0 Id=x\ngo\n", 2, "", "wirehost: line 7: Id=x is not a whole number\n"),
        (START + CALL + "go\n", 1, "die Agent=0 BodyText=ValueError: broken at line ", ""),
    ],
)
def test_exit_code_and_output(
    text: str,
    code: int,
    out: str,
    err: str,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    def fail(self: object, request: object) -> None:
        raise ValueError("broken")

    monkeypatch.setattr("peattrestle.control.CallRouter.handle_call", fail)
    monkeypatch.setattr("sys.stdin", io.StringIO(text))
    assert main() == code
    captured = capsys.readouterr()
    assert (captured.out.startswith(out), captured.err) == (True, err)
