"""Runs on one machine get addresses of their own."""

import pytest

from soak.nets import NoFreeNetError, claimed_net

# Outside of what runs take on their own.
NETS = (251, 252)


# Guards against: two runs at once on the same addresses, whose nodes then can't listen.
def test_a_claimed_net_goes_to_nobody_else_until_it_is_given_back() -> None:
    with claimed_net(NETS) as first:
        with claimed_net(NETS) as second:
            assert (first, second) == NETS
            with pytest.raises(NoFreeNetError), claimed_net(NETS):
                pass
        with claimed_net(NETS) as again:
            assert again == second
