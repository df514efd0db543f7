Feature: Callers that end their sending side after their last request

  Guards against bookings that run and are not answered: a booking runs to its
  end even if its caller has left, so its answer can be written.

  Scenario: A booking whose caller sends nothing more is answered
    Given a deployment of 1 hosts on the event loop of a process
    And servers run for 0.2 s and answer with 0 kB
    When a caller sends a booking and shuts down its sending side
    Then it gets 1 complete answers
