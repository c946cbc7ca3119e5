from ragwortkeel.ingress.prefixes import PrefixCache, PromptBlock


def parts(*sizes):
    return tuple(PromptBlock(block_id=name, tokens=size) for name, size in sizes)


class TestPrefixCache:
    def test_only_the_unbroken_beginning_is_held(self):
        memory = PrefixCache(capacity_tokens=1000)
        memory.record_read(parts(("a", 100), ("b", 200)))
        assert memory.cached_tokens(parts(("a", 100), ("b", 200), ("c", 5))) == 300
        assert memory.cached_tokens(parts(("a", 100), ("x", 200))) == 100
        assert memory.cached_tokens(parts(("x", 100), ("b", 200))) == 0

    def test_the_longest_unused_part_yields(self):
        memory = PrefixCache(capacity_tokens=250)
        memory.record_read(parts(("a", 100)))
        memory.record_read(parts(("b", 100)))
        memory.record_read(parts(("a", 100)))
        memory.record_read(parts(("c", 100)))
        assert memory.cached_tokens(parts(("a", 100))) == 100
        assert memory.cached_tokens(parts(("b", 100))) == 0
