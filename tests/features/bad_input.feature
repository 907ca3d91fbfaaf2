Feature: Bad input gets a clear error, nothing is lost and nothing runs

  Scenario: Every kind of bad input against a running node
    Given stand-ins and one node as separate processes with the example documents in force
    Then each bad query is refused with its status and reason and nothing runs
    And each bad change is refused with its place and nothing changes
    And forged and undecodable datagrams are counted and dropped
    And the node still answers a good query

  Scenario: Bad settings and documents offline
    Then unknown settings keys, wrong values and broken files are named with their places
    And every error of an invalid policy is named at once with its place
