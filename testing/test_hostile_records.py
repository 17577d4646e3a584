import pytest

from beryljunction.platform import InvalidRecord
from hostile_records import DECODERS, HOSTILE, Raw, as_bytes, paths, replaced, run_property, without


class TestEveryField:
    @pytest.mark.parametrize("name", sorted(DECODERS))
    def test_stated_message_is_usable(self, name):
        """Guards against a generator whose messages are refused before the field in question."""
        assert DECODERS[name].play(as_bytes(DECODERS[name].message))

    @pytest.mark.parametrize("name", sorted(DECODERS))
    def test_hostile_value_gives_a_value_or_an_invalid_record(self, name):
        """Guards against the end of every entry at one field of another writer."""
        decoder = DECODERS[name]

        for path in paths(decoder.message):
            for value in HOSTILE.values():
                message = replaced(decoder.message, path, value)
                if isinstance(decoder.message, Raw) and isinstance(value, str):
                    message = Raw(value.encode(errors="replace").decode("latin-1"))
                decoder.play(as_bytes(message))

    @pytest.mark.parametrize("name", sorted(DECODERS))
    def test_missing_field_gives_a_value_or_an_invalid_record(self, name):
        decoder = DECODERS[name]

        for path in paths(decoder.message)[1:]:
            decoder.play(as_bytes(without(decoder.message, path)))

    @pytest.mark.parametrize("name", sorted(DECODERS))
    def test_problem_stays_short(self, name):
        """Guards against log lines of the size of a foreign record."""
        decoder = DECODERS[name]

        for path in paths(decoder.message):
            message = replaced(decoder.message, path, "x" * 70_000)
            decoded = decoder.decode(as_bytes(message))
            assert not isinstance(decoded, InvalidRecord) or len(decoded.problem) < 400


class TestAnyBytes:
    def test_no_decoder_raises(self):
        """Guards against the end of every entry at bytes of another writer."""
        run_property(600)
