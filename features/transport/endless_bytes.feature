Feature: A configuration service that sends bytes without end

  Guards against a response that is kept before its bytes are counted, or
  that occupies the reader for ever.

  Scenario Outline: A response without end is given up
    When a document is read from a service with <fault>
    Then the read has failed within <limit> s, with less than 16 MB accepted

    Examples:
      | fault                     | limit |
      | endless status line       | 4     |
      | endless header lines      | 4     |
      | endless header value      | 4     |
      | endless interim responses | 4     |
      | endless 100 responses     | 4     |
      | endless body, no length   | 4     |
      | endless chunks            | 4     |
      | endless one-byte chunks   | 4     |
      | endless chunk extension   | 4     |
      | endless trailers          | 4     |
      | endless body, slowly      | 4     |
