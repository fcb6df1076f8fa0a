Feature: Links between processes

  Scenario: A process that does not know the secret is refused
    # A second deployment is started by mistake with the addresses of the first. Without proof of
    # the secret its processes would join, and calls would run in the wrong deployment.
    Given a process "one" with the secret "right"
    And a process "two" with the secret "wrong"
    When "two" dials "one"
    Then no link opens within 1 second
