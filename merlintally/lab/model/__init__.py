"""The simulated world: event queue, requests, app servers, counter and discovery; and the files of days."""
