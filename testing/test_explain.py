import anyio
import pytest

from beryljunction.cli.explain import explain as explain_command
from beryljunction.explain import explain, parse_line
from beryljunction.platform import HostBounds
from platform_world import open_world, reset, route
from routing_fakes import known


def story_of(request_id, lines):
    parsed = [line for line in map(parse_line, lines) if line is not None]
    return explain(request_id, parsed)


class TestCauses:
    """Three kinds of failed request, played, then explained from the log lines alone."""

    def test_request_refused_in_an_outage_of_the_store(self):
        async def run():
            async with open_world(route(), bounds=HostBounds(revocation_ms=2_000)) as world:
                await world.add_endpoint("e1")
                await world.known(1)
                world.store.faults.busy = True
                await anyio.sleep(2.2)
                status = (await world.ask(request_id="late1"))[0]
                return status, world.lines.lines

        status, lines = anyio.run(run)
        story = story_of("late1", lines)

        assert status == 503
        assert "too long ago to honour an API key" in story.cause
        assert "has not run" in story.cause
        assert "lost the store at" in story.cause

    def test_request_whose_endpoint_died(self):
        async def die(answer, writer, number):
            reset(writer)

        async def run():
            async with open_world(route()) as world:
                await world.add_endpoint("e1", script=die)
                await world.known(1)
                status = (await world.ask(request_id="pay7"))[0]
                return status, world.lines.lines

        status, lines = anyio.run(run)
        story = story_of("pay7", lines)

        assert status == 502
        assert "endpoint e1 got the request and gave no usable answer" in story.cause
        assert "may have run, so it was not sent again" in story.cause
        assert any("sent to endpoint e1 of plain for acme" in text for text in story.sentences)

    def test_request_with_a_key_taken_away(self):
        async def run():
            async with open_world(route()) as world:
                await world.add_endpoint("e1")
                await world.known(1)
                world.configure(route(), tenants=[{"name": "acme", "api-keys": ["other"]}])
                await anyio.sleep(0.2)
                status = (await world.ask(request_id="old9"))[0]
                return status, world.lines.lines

        status, lines = anyio.run(run)
        story = story_of("old9", lines)

        assert status == 401
        assert "no client account holds the API key in settings 6" in story.cause
        assert any("put settings 6 in force" in text for text in story.sentences)
        assert not any("key=" in line for line in lines)

    def test_request_while_all_zones_are_evacuated(self):
        async def run():
            async with open_world(route()) as world:
                await world.add_endpoint("e1")
                await world.known(1)
                world.put("keyed.op", "evacuate/a", b"{}")
                await world.until(world.evacuated)
                status = (await world.ask(request_id="none1"))[0]
                return status, world.lines.lines

        status, lines = anyio.run(run)
        story = story_of("none1", lines)

        assert status == 503
        assert "zones that the operator empties; it has not run" in story.cause
        assert any("sends nothing new to zone a" in text for text in story.sentences)

    def test_request_that_ends_endpoints(self):
        async def end(answer, writer, number):
            world.endpoints["e1"].server.close()
            reset(writer)

        async def run():
            nonlocal world
            async with open_world(route()) as world:
                await world.add_endpoint("e1", script=end)
                await world.known(1)
                await world.ask(request_id="bad1", body=b"bad")
                (line,) = world.lines.of("endpoint_ended")
                digest = parse_line(line).get("digest")
                for number in range(2):
                    world.entry._state.quarantine.note_crash(digest, known(f"x{number}"))
                status = (await world.ask(request_id="bad2", body=b"bad"))[0]
                return status, world.lines.lines

        world = None
        status, lines = anyio.run(run)
        story = story_of("bad2", lines)

        assert status == 503
        assert "several endpoints ended while they had this request" in story.cause
        ended = [text for text in story.sentences if "ended under this request" in text]
        assert len(ended) == 3
        assert any("keeps this request from being sent" in text for text in story.sentences)


class TestUnfinished:
    """Guards against a host that lost power being told as a caller who left."""

    SENT = "time=2026-01-01T00:00:01+00:00 event=sent host=h1 request_id=q1 endpoint=e1"

    def cause(self, *lines):
        return story_of("q1", [self.SENT, *lines]).cause

    def test_host_that_stays_silent(self):
        other = "time=2026-01-01T00:00:09+00:00 event=started host=h2"

        assert "the log of h1 ends at 00:00:01" in self.cause(other)

    def test_host_that_starts_anew(self):
        again = "time=2026-01-01T00:00:03+00:00 event=started host=h1"

        assert "h1 started anew" in self.cause(again)

    def test_host_that_goes_on_without_a_line_of_its_end(self):
        left_out = "time=2026-01-01T00:00:03+00:00 event=lines_left_out host=h1"

        assert "not known" in self.cause(left_out)

    def test_caller_who_left(self):
        end = "time=2026-01-01T00:00:02+00:00 event=not_answered host=h1 request_id=q1 whole_ms=9"

        assert self.cause(end) == "the caller left before its answer was whole"


class TestParseLine:
    @pytest.mark.parametrize("text", ["", "Traceback (most recent call last):", "time=now event=x"])
    def test_other_lines_are_passed_over(self, text):
        assert parse_line(text) is None

    def test_quoted_values(self):
        line = parse_line('time=2026-01-01T00:00:00.5+00:00 event=a host=h detail="b \\"c\\" d"')

        assert line.get("detail") == 'b "c" d'


class TestCommand:
    def test_unknown_request(self, tmp_path, capsys):
        path = tmp_path / "entry.log"
        path.write_text("time=2026-01-01T00:00:00+00:00 event=started host=h\n")

        assert explain_command("q1", path) == 1
        assert "expected a line with this request id" in capsys.readouterr().err

    def test_missing_file(self, tmp_path, capsys):
        assert explain_command("q1", tmp_path / "no.log") == 2
        assert "expected a readable log file" in capsys.readouterr().err
