"""The parts of a day's world: event queue, requests, app servers, counter, discovery; and the days' files."""
