from ragwortkeel.ingress.prefixes import PrefixCache, PromptBlock


def blocks(*sizes):
    return tuple(PromptBlock(block_id=name, tokens=size) for name, size in sizes)


class TestPrefixCache:
    def test_only_a_common_prefix_is_cached(self):
        cache = PrefixCache(capacity_tokens=1000)
        cache.record_read(blocks(("a", 100), ("b", 200)))
        assert cache.cached_tokens(blocks(("a", 100), ("b", 200), ("c", 5))) == 300
        assert cache.cached_tokens(blocks(("a", 100), ("x", 200))) == 100
        assert cache.cached_tokens(blocks(("x", 100), ("b", 200))) == 0

    def test_the_least_recently_used_block_is_evicted(self):
        cache = PrefixCache(capacity_tokens=250)
        cache.record_read(blocks(("a", 100)))
        cache.record_read(blocks(("b", 100)))
        cache.record_read(blocks(("a", 100)))
        cache.record_read(blocks(("c", 100)))
        assert cache.cached_tokens(blocks(("a", 100))) == 100
        assert cache.cached_tokens(blocks(("b", 100))) == 0
