package placement

import _ "github.com/samphirefork/samphirefork/internal/testseed" // fixed seed of property tests
