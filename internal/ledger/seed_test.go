package ledger

import _ "github.com/samphirefork/samphirefork/internal/testseed" // sets a fixed seed for the property tests
