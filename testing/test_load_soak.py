import anyio

from load_soak import Soak, run_soak


class TestLoadSoak:
    """Guards against requests over the load bound that only real processes show.

    Eight entries and twelve engines, one zone evacuated and one session hot from 7 s on, settings
    in series and an entry replaced meanwhile; counted from what the engines hold.
    """

    def test_limit_holds_and_every_request_is_answered(self, tmp_path):
        result = anyio.run(run_soak, Soak(), 1, tmp_path)

        assert not result.worst.breaks_limit
        assert result.failed == []
        assert result.answered > 1_000
