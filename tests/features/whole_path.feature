Feature: The whole path as separate processes
  A policy that an operator submits on one node is in force on all, and every node answers queries.

  Scenario: Apply on one node, query through each, stop one
    Given stand-ins and two nodes in two zones as separate processes
    When the operator applies the example documents on the first node
    Then every node has the same revision in force
    And a query over all shards through each node has full coverage and one snapshot
    And the status command shows both members
    When the second node gets SIGTERM while queries run
    Then it exits with 0 and every query on it was answered or truly refused
