"""The whole sidecar: link in front, upstream behind, platform beside."""

from sidecar_setup import Router, Upstream, dispatch, run, sidecar_beside

from ragwortkeel.messages import Chunk, Finished, Started


class TestServing:
    def test_streamed_answer_is_whole_and_costs_its_usage(self):
        async def main():
            upstream = Upstream()
            async with sidecar_beside(upstream) as (sidecar, _, _):
                router = Router(address=sidecar.address)
                await router.open()
                return upstream, await router.ask(dispatch(), Finished)

        upstream, messages = run(main)
        body = b"".join(m.data for m in messages if isinstance(m, Chunk))
        assert isinstance(messages[0], Started)
        assert body.endswith(b"data: [DONE]\n\n")
        assert messages[-1].length == len(body)
        assert messages[-1].tokens == 14
        assert upstream.runs[0].headers["x-fencing-number"] == "1"
