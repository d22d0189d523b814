"""The reconnect backoff: the fleet's calls to its coordinator are spread, and each pause stays within its bounds."""

from rookbend.net.reconnect_backoff import MAX_SPREAD_S, MIN_PAUSE_S, ReconnectBackoff


def call_times(count, rounds, seed):
    """The times at which the directors of a fleet call a coordinator that ends every call at once."""
    call_times_s = []
    for number in range(count):
        backoff, at = ReconnectBackoff(number, count, seed + number), 0.0
        for _ in range(rounds):
            at += backoff.next()
            call_times_s.append(at)
    return sorted(call_times_s)


def max_calls_per_window(times, window=0.1):
    return max(sum(t <= u < t + window for u in times) for t in times)


def test_no_more_than_a_fifth_of_the_fleet_calls_within_any_tenth_of_a_second():
    for count in (10, 40, 200):
        for seed in range(5):
            assert max_calls_per_window(call_times(count, 7, 1000 * seed)) <= count / 5, (count, seed)


def test_each_pause_is_within_its_bounds_and_no_director_is_always_last():
    first_pauses_by_director = []
    for number in range(10):
        backoff = ReconnectBackoff(number, 10, number)
        first_pauses = []
        for _ in range(8):
            pauses = [backoff.next() for _ in range(6)]
            assert MIN_PAUSE_S <= pauses[0] <= MIN_PAUSE_S + MAX_SPREAD_S
            assert pauses[1:] == [1.0] * 5
            backoff.reset()
            first_pauses.append(pauses[0])
        first_pauses_by_director.append(first_pauses)
    last = [max(range(10), key=lambda n, i=i: first_pauses_by_director[n][i]) for i in range(8)]
    assert len(set(last)) > 3
