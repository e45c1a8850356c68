package fleet

import _ "github.com/samphirefork/samphirefork/internal/testseed" // sets a fixed seed for property tests
